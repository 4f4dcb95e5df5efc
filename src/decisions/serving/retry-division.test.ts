import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDisposableStore, SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createRetryPool} from '../fleet/index.js';
import {createRetryShare} from './retry-share.js';

const ratio = 0.2;
const windowMs = 10_000;
const hangFromMs = 25_000;
const hangUntilMs = 30_000;
const endMs = 40_000;

type Replay = {
	readonly seed: number;
	readonly vmCount: number;
	readonly extra: number;
	/** VMs below this index run code that neither cedes retries nor takes credits. */
	readonly olderVmCount?: number;
	/** VMs below this index are cut off from the others from 22 s on, with a coordinator of their own. */
	readonly cutOffVmCount?: number;
	/** Coordinator that nobody else reaches; the credits for it are lost. */
	readonly isCoordinatorLost?: boolean;
	/** Makes every call ask for a retry from this time on, in milliseconds. */
	readonly floodFromMs?: number;
};

/**
 * Replays 80 calls a second, 33 of them idempotent, over three targets of which one hangs for 5 s. 14% of the
 * idempotent calls fail once wherever they run. No target is avoided.
 */
async function replay(options: Replay) {
	const {vmCount, extra, olderVmCount = 0, cutOffVmCount = 0} = options;
	const {floodFromMs = Infinity} = options;
	const time = new VirtualTime();
	const random = new SeededRandomSource(options.seed);
	const bounds = () => ({ratio, extra, windowMs});
	const pools = [0, 1].map(() =>
		createRetryPool({
			clock: time,
			bounds,
			coordinatorSinceMs: () => -windowMs,
		}),
	);
	let isCutOff = false;
	const poolOf = (vm: number) => pools[isCutOff && vm < cutOffVmCount ? 1 : 0];
	const shares = Array.from({length: vmCount}, (_, vm) =>
		createRetryShare({
			clock: time,
			bounds,
			vmCount: () => vmCount,
			askPool(service, onDecision) {
				onDecision(!options.isCoordinatorLost && poolOf(vm).tryTake(service));
				return createDisposableStore();
			},
		}),
	);
	const requestTimes: number[] = [];
	const retryTimes: number[] = [];
	let metCount = 0;
	let servedCount = 0;

	const call = (nowMs: number) => {
		const vm = Math.floor(random.nextUnit() * vmCount);
		const share = shares[vm];
		share.recordRequest('desk');
		requestTimes.push(nowMs);
		const isIdempotent = random.nextUnit() < 33 / 80;
		const meetsHang =
			nowMs >= hangFromMs && nowMs < hangUntilMs && random.nextUnit() < 1 / 3;
		const isFailed = meetsHang || random.nextUnit() < 0.14;
		if (nowMs < floodFromMs && (!isIdempotent || !isFailed)) {
			return;
		}

		share.take('desk', (isGranted) => {
			metCount += meetsHang ? 1 : 0;
			servedCount += meetsHang && isGranted ? 1 : 0;
			if (isGranted) {
				retryTimes.push(nowMs);
			}
		});
	};

	for (let nowMs = 0; nowMs < endMs; nowMs += 5) {
		await time.runUntil(nowMs);
		isCutOff = nowMs >= 22_000;
		if (nowMs % 1000 === 0) {
			for (const [vm, share] of shares.entries()) {
				if (vm >= olderVmCount) {
					poolOf(vm).addCredits(share.takeUnused());
				}
			}
		}

		if (random.nextUnit() < 80 / 200) {
			call(nowMs);
		}
	}

	return {requestTimes, retryTimes, metCount, servedCount};
}

function assertWithinBudget(
	{requestTimes, retryTimes}: Awaited<ReturnType<typeof replay>>,
	extra: number,
) {
	const countFrom = (times: readonly number[], startMs: number) =>
		times.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length;
	for (let startMs = 0; startMs <= endMs - windowMs; startMs += 500) {
		const retries = countFrom(retryTimes, startMs);
		const allowed = ratio * countFrom(requestTimes, startMs) + extra;
		assert.ok(retries <= allowed, `${retries} > ${allowed} from ${startMs}`);
	}
}

for (const [vmCount, extra] of [
	[16, 56],
	[75, 30],
	[75, 56],
	[90, 56],
]) {
	test(`nearly all idempotent calls that meet a hanging target find a retry among ${vmCount} VMs that share ${extra} extra ones`, async () => {
		for (const seed of [1, 2, 3]) {
			const result = await replay({seed, vmCount, extra});
			assertWithinBudget(result, extra);
			assert.ok(
				result.servedCount >= 0.95 * result.metCount,
				`${result.servedCount} of ${result.metCount}, seed ${seed}`,
			);
		}
	});
}

const partitions: Readonly<Record<string, Partial<Replay>>> = {
	'all VMs reach the coordinator': {},
	'a third of the VMs is cut off with a coordinator of its own': {
		cutOffVmCount: 25,
	},
	'half of the VMs run code that cedes nothing': {olderVmCount: 37},
	'the coordinator reaches nobody': {isCoordinatorLost: true},
};

for (const [name, changes] of Object.entries(partitions)) {
	test(`the fleet does not exceed its retry budget when every call fails while ${name}`, async () => {
		for (const floodFromMs of [0, 15_000, 28_000]) {
			const extra = 56;
			const settings = {seed: 4, vmCount: 75, extra, floodFromMs};
			const result = await replay({...settings, ...changes});
			assertWithinBudget(result, extra);
			assert.ok(result.retryTimes.length > 100);
		}
	});
}
