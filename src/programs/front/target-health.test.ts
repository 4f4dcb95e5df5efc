import assert from 'node:assert/strict';
import {test} from 'node:test';
import {replayTargetFleet} from './testing/target-fleet.js';
import type {
	TargetBehavior,
	TargetFleetOptions,
	TargetFleetResult,
} from './testing/target-fleet-types.js';

const faultFromMs = 5000;
const vmCounts = [6, 30, 90];

type FaultOf = TargetFleetOptions['behaviorOf'];

/** The first target behaves differently for some time. */
const firstTarget =
	(untilMs: number, behaviorOf: FaultOf): FaultOf =>
	(target, nowMs, random): TargetBehavior =>
		target === 0 && nowMs >= faultFromMs && nowMs < untilMs
			? behaviorOf(target, nowMs, random)
			: 'answer';

const hangs = firstTarget(10_000, () => 'hang');
const answers = () => 'answer' as const;

/** Runs a replay with each number of VMs. */
async function replayAll(
	options: Omit<TargetFleetOptions, 'durationMs' | 'seed' | 'vmCount'> & {
		readonly durationMs?: number;
	},
	check: (result: TargetFleetResult, name: string, vmCount: number) => void,
) {
	for (const [index, vmCount] of vmCounts.entries()) {
		const seed = index + 1;
		const settings = {durationMs: 12_000, ...options, vmCount, seed};
		const result = await replayTargetFleet(settings);
		check(result, `${vmCount} VMs, seed ${seed}`, vmCount);
	}
}

const assertAtMost = (value: number, bound: number, name: string) => {
	assert.ok(value <= bound, `${value} > ${bound}: ${name}`);
};

/** Largest number of calls to a target in one second from a time on. */
const peakPerSecond = (sentMs: readonly number[], fromMs: number) =>
	Math.max(
		0,
		...sentMs
			.filter((startMs) => startMs >= fromMs)
			.map(
				(startMs) =>
					sentMs.filter((atMs) => atMs >= startMs && atMs < startMs + 1000)
						.length,
			),
	);

test('each VM need not lose calls of its own to a target that hangs for 5 s', async () => {
	await replayAll({behaviorOf: hangs}, (result, name) => {
		assertAtMost(result.lostOther, 15, name);
		assertAtMost(result.lostIdempotent, 3, name);
	});
});

test('a target that hung gets its share back, and not all calls at once', async () => {
	await replayAll({behaviorOf: hangs, durationMs: 25_000}, (result, name) => {
		const ends = result.avoidances.find(({change}) => change === 'ends');
		assertAtMost(ends?.atMs ?? Infinity, 20_000, name);
		// The usual rate is 27 calls a second.
		assertAtMost(peakPerSecond(result.sentMs[0], 10_000), 48, name);
		const last = result.sentMs[0].filter((atMs) => atMs >= 20_000).length;
		assert.ok(last >= 5 * 15, `${last} calls in 5 s: ${name}`);
	});
});

test('a target that fails 40% of its calls while its health is good is found', async () => {
	const behaviorOf = firstTarget(15_000, (_target, _nowMs, random) =>
		random.nextUnit() < 0.4 ? 'error' : 'answer',
	);
	await replayAll({behaviorOf, durationMs: 30_000}, (result, name) => {
		const [begins, ends] = result.avoidances;
		assertAtMost(begins?.atMs ?? Infinity, faultFromMs + 3000, name);
		assertAtMost(ends?.atMs ?? Infinity, 30_000, name);
		// Without avoidance it fails 63 of the calls that are not idempotent.
		assertAtMost(result.lostOther, 21, name);
		assertAtMost(result.lostIdempotent, 3, name);
	});
});

test('a target that resets connections is avoided by all VMs', async () => {
	const behaviorOf = firstTarget(10_000, () => 'reset');
	await replayAll({behaviorOf}, (result, name) => {
		assertAtMost(result.lostOther, 15, name);
		assertAtMost(result.lostIdempotent, 3, name);
	});
});

test('a target that goes up and down every second does not get its share back in each second in which it is up', async () => {
	const behaviorOf = firstTarget(15_000, (_target, nowMs) =>
		Math.floor(nowMs / 1000) % 2 === 0 ? 'hang' : 'answer',
	);
	await replayAll({behaviorOf, durationMs: 17_000}, (result, name) => {
		// It hangs for as long as a target that hangs for 5 s, with the chance to be taken for well four times.
		assertAtMost(result.lostOther, 20, name);
		assertAtMost(result.lostIdempotent, 3, name);
	});
});

test('calls go on to all targets when all hang at once', async () => {
	const behaviorOf: FaultOf = (_target, nowMs) =>
		nowMs >= faultFromMs && nowMs < 8000 ? 'hang' : 'answer';
	await replayAll({behaviorOf}, (result, name) => {
		const counts = result.sentMs.map(
			(times) =>
				times.filter((atMs) => atMs >= faultFromMs && atMs < 8000).length,
		);
		const total = counts[0] + counts[1] + counts[2];
		for (const count of counts) {
			assert.ok(count >= 0.15 * total, `${counts.join(', ')}: ${name}`);
		}

		for (const [index, {atMs, change}] of result.avoidances.entries()) {
			if (change === 'ends') {
				assertAtMost(atMs - result.avoidances[index - 1].atMs, 500, name);
			}
		}
	});
});

test('two of three targets that hang are both avoided', async () => {
	const behaviorOf: FaultOf = (target, nowMs) =>
		target < 2 && nowMs >= faultFromMs && nowMs < 10_000 ? 'hang' : 'answer';
	await replayAll({behaviorOf}, (result, name) => {
		assertAtMost(result.lostOther, 30, name);
		// A third of the idempotent calls of the first second meets both.
		assertAtMost(result.lostIdempotent, 11, name);
	});
});

test('failures that requests have at every target exclude none', async () => {
	await replayAll({behaviorOf: answers, durationMs: 40_000}, (result, name) => {
		assert.deepEqual(result.avoidances, [], name);
	});
});

test('the only target of a service is never avoided', async () => {
	const behaviorOf: FaultOf = hangs;
	await replayAll({behaviorOf, targetCount: 1}, (result, name) => {
		assert.deepEqual(result.avoidances, [], name);
	});
});

test('a service without idempotent calls loses few calls to trials of a target that hangs', async () => {
	await replayAll(
		{behaviorOf: hangs, hasIdempotentCalls: false},
		(result, name) => {
			// 80 calls a second that are not idempotent, in place of 47.
			assertAtMost(result.lostOther, (15 * 80) / 47, name);
		},
	);
});

test('lost and late messages between VMs do not undo the avoidance', async () => {
	await replayAll(
		{behaviorOf: hangs, lossShare: 0.2, lateShare: 0.2},
		(result, name) => {
			// Half of what 30 VMs lose by their own evidence alone.
			assertAtMost(result.lostOther, 24, name);
			assertAtMost(result.lostIdempotent, 3, name);
		},
	);
});

test('the avoidance goes on when the coordinator ends while a target hangs', async () => {
	await replayAll(
		{behaviorOf: hangs, coordinatorEndsMs: 7000},
		(result, name) => {
			assertAtMost(result.lostOther, 15, name);
			assertAtMost(result.lostIdempotent, 3, name);
		},
	);
});

test('VMs that get nothing from a coordinator decide by their own calls', async () => {
	await replayAll(
		{behaviorOf: hangs, isExchanging: false},
		(result, name, vmCount) => {
			// Without any evidence 78 calls that are not idempotent meet the target.
			assertAtMost(result.lostOther, vmCount === 6 ? 39 : 78, name);
			assertAtMost(result.lostIdempotent, 3, name);
		},
	);
});
