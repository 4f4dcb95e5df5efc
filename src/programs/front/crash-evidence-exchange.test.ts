import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	createMemberList,
	decodeFleetMessage,
	encodeFleetMessage,
	type FleetMessage,
	type MemberInfo,
} from '../../decisions/fleet/index.js';
import {
	createCrashEvidence,
	createPromptQuarantine,
} from '../../decisions/quarantine/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCrashEvidenceExchange} from './crash-evidence-exchange.js';

const latencyMs = 2;
const stepMs = 50;
const tickMs = 1000;
const contactIntervalMs = 500;
/** Time after the fifth crash in which all VMs learn of it, in milliseconds. */
const contactMs = 3000;
/** Requests with the part that may reach engines after that time. */
const maxLaterSends = 3;
const startMs = 6000;
/** Interval between two requests with the crashing part, in milliseconds. */
const requestIntervalMs = 250;
/** Time from the send of such a request to the end of its engine, in milliseconds. */
const crashAfterMs = 350;

const addressOf = (index: number) => `10.1.0.${index}:7200`;

function memberInfo(index: number): MemberInfo {
	return {
		address: addressOf(index),
		availabilityZone: 'zone-1',
		instanceId: `i${index}`,
		// The VM with the lowest index coordinates.
		cpuMsPerSecond: 1000 - index,
		storeReadState: 'idle',
	};
}

/** Faults of the simulated fleet; `nowMs` counts from the first request with the crashing part. */
type Faults = {
	readonly isUp?: (vm: number, nowMs: number) => boolean;
	readonly isLinked?: (from: number, to: number) => boolean;
	readonly lossFraction?: number;
};

/**
 * Simulates VMs that send requests under which engines end; only the VM that has sent a request sees its
 * engine end.
 */
function createFleet(vmCount: number, faults: Faults) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(7);
	const crashesMs: number[] = [];
	const sends: Array<{readonly vm: number; readonly atMs: number}> = [];
	let engineCount = 0;

	const isUp = (vm: number) =>
		faults.isUp?.(vm, time.nowMs() - startMs) ?? true;
	const isReachable = (from: number, to: number) =>
		isUp(from) && isUp(to) && (faults.isLinked?.(from, to) ?? true);

	const createVm = (index: number) => {
		const members = createMemberList(time, memberInfo(index));
		const evidence = createCrashEvidence(time);
		const exchange = createCrashEvidenceExchange({
			clock: time,
			timers: time,
			address: addressOf(index),
			members,
			evidence,
			send(address, message) {
				deliver(index, address, encodeFleetMessage(message));
			},
		});
		const quarantine = createPromptQuarantine({
			clock: time,
			evidence,
			vmCount: () => vmCount,
			trialOrder: index / vmCount,
		});
		return {members, evidence, exchange, quarantine};
	};

	const vms = Array.from({length: vmCount}, (_, index) => createVm(index));
	const indexByAddress = new Map(
		vms.map((_, index) => [addressOf(index), index]),
	);

	const deliver = (from: number, address: string, text: string) => {
		const to = indexByAddress.get(address) ?? 0;
		const isLost = random.nextUnit() < (faults.lossFraction ?? 0);
		if (!isLost && isReachable(from, to)) {
			time.after(latencyMs, () => {
				const message: FleetMessage = decodeFleetMessage(JSON.parse(text));
				if (message.kind === 'crash-evidence') {
					vms[to].exchange.handle(message);
				}
			});
		}
	};

	const exchangeContacts = () => {
		for (const [index, vm] of vms.entries()) {
			for (let other = 0; other < vmCount; other++) {
				if (other !== index && isReachable(other, index)) {
					const isNew = vm.members.silentMs(addressOf(other)) === Infinity;
					vm.members.recordSeen(memberInfo(other), 0);
					if (isNew) {
						vm.exchange.sendTo(addressOf(other));
					}
				}
			}
		}
	};

	const sendCrashing = (vm: number) => {
		const parts = ['a', `b${sends.length % 3}`, 'x', `own${sends.length}`];
		if (vms[vm].quarantine.decide(parts).outcome === 'held') {
			return;
		}

		const sentMs = time.nowMs();
		sends.push({vm, atMs: sentMs});
		time.after(crashAfterMs, () => {
			const nowMs = time.nowMs();
			crashesMs.push(nowMs);
			const sentParts = parts.map((partId) => ({
				partId,
				sentMs,
				eventCount: 0,
			}));
			vms[vm].evidence.recordCrash(`e${engineCount++}`, sentParts, nowMs);
		});
	};

	const step = (atMs: number) => {
		if (atMs % contactIntervalMs === 0) {
			exchangeContacts();
		}

		if (atMs % tickMs === 0) {
			for (const [index, vm] of vms.entries()) {
				if (isUp(index)) {
					vm.exchange.tick();
					vm.quarantine.sweep();
				}
			}
		}

		const vm = random.nextInt(vmCount);
		if (atMs >= startMs && atMs % requestIntervalMs === 0 && isUp(vm)) {
			sendCrashing(vm);
		}
	};

	return {
		crashesMs,
		async runUntil(untilMs: number) {
			for (let atMs = time.nowMs(); atMs < untilMs; atMs += stepMs) {
				await time.runUntil(atMs);
				step(atMs);
			}
		},
		/** Replaces a VM by one that knows nothing, as after a restart. */
		restart(vm: number) {
			vms[vm].exchange.dispose();
			vms[vm] = createVm(vm);
			for (const other of vms) {
				other.members.suspect(addressOf(vm));
			}

			for (const [index, other] of vms.entries()) {
				if (index !== vm && isReachable(index, vm)) {
					other.exchange.sendTo(addressOf(vm));
				}
			}
		},
		/** Sends of some VMs later than the bound after the fifth crash. */
		laterSends(isCounted: (vm: number) => boolean = () => true) {
			const boundMs = (crashesMs[4] ?? crashesMs.at(-1) ?? 0) + contactMs;
			return sends.filter(({vm, atMs}) => atMs > boundMs && isCounted(vm))
				.length;
		},
		isHeld: (vm: number) =>
			vms[vm].quarantine.held(['a', 'b0', 'x', 'own']) !== undefined,
	};
}

for (const [name, vmCount, faults] of [
	['one VM alone', 1, {}],
	['six VMs', 6, {}],
	['30 VMs', 30, {}],
	['195 VMs', 195, {}],
	['195 VMs that lose one datagram in five', 195, {lossFraction: 0.2}],
	[
		'VMs whose coordinator ends after the first crashes',
		6,
		{isUp: (vm: number, nowMs: number) => vm > 0 || nowMs < 700},
	],
	[
		'VMs whose coordinator and standby end after the first crashes',
		6,
		{isUp: (vm: number, nowMs: number) => vm > 1 || nowMs < 700},
	],
] as const) {
	test(`${name} send no more requests under which engines end, soon after the fifth crash`, async () => {
		const fleet = createFleet(vmCount, faults);
		await fleet.runUntil(startMs + 30_000);
		assert.ok(fleet.crashesMs.length >= 3);
		assert.ok(
			fleet.laterSends() <= maxLaterSends,
			`${fleet.laterSends()} later sends`,
		);
	});
}

test('in a partition of the VMs each side learns by itself which requests end engines', async () => {
	const fleet = createFleet(6, {
		isLinked: (from, to) => from < 3 === to < 3,
	});
	await fleet.runUntil(startMs + 30_000);
	for (const isCounted of [(vm: number) => vm < 3, (vm: number) => vm >= 3]) {
		assert.ok(fleet.laterSends(isCounted) <= maxLaterSends);
	}
});

test('a VM that restarts learns from the others which requests end engines', async () => {
	const fleet = createFleet(6, {});
	await fleet.runUntil(startMs + 10_000);
	fleet.restart(4);
	assert.equal(fleet.isHeld(4), false);
	await fleet.runUntil(startMs + 11_000);
	assert.equal(fleet.isHeld(4), true);
});
