import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	fakeEngineEntry,
	fakePlacementRequest,
	startTestScheduler,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createPermitPool} from '../rate-limits/index.js';
import type {EngineEntry} from './service-memory-types.js';
import type {PlacementRequest} from './types.js';

/** Engines and generations of the first deployment; the long ones arrive at 2.3 times their usual rate. */
const engineCount = 32;
const capacityTokens = 26_830;
const stepMs = 7;
const coldPerSecond = 28;
const durationMs = 3000;
const kinds = [
	{
		perSecond: 30,
		changes: {promptTokens: 3079, expectedTokens: 748, objectiveMs: 4000},
	},
	{
		perSecond: 25,
		changes: {
			promptTokens: 2550,
			expectedTokens: 8,
			objectiveMs: 1500,
			remainingMs: 6000,
		},
	},
] as const;

type Arrival = {readonly atMs: number; readonly request: PlacementRequest};

function arrivals(): Arrival[] {
	const random = new SeededRandomSource(11);
	return kinds
		.flatMap(({perSecond, changes}, kind) =>
			Array.from(
				{length: (perSecond * durationMs) / 1000},
				(_, index): Arrival => ({
					atMs: Math.floor(random.nextUnit() * durationMs),
					request: fakePlacementRequest(`q${kind}-${index}`, changes),
				}),
			),
		)
		.sort((first, second) => first.atMs - second.atMs);
}

/** Turns at engines of which some are cold, as the coordinator hands them out. */
function coldTurns(coldCount: number) {
	const time = new VirtualTime();
	const pool = createPermitPool({
		clock: time,
		random: new SeededRandomSource(3),
		rateFraction: () => 1,
		startedMs: () => -60_000,
		aheadTurns: {usual: 1, urgent: 3},
		isOneOfMany: () => false,
	});
	const targetOf = (targetId: string) => ({
		targetId,
		requestsPerSecond: coldPerSecond,
	});
	const isCold = (targetId: string) => Number(targetId.slice(1)) < coldCount;
	const entries = Array.from({length: engineCount}, (_, index): EngineEntry => {
		const entry = fakeEngineEntry(`e${index}`, {capacityTokens});
		return {
			...entry,
			get turns() {
				const target = targetOf(entry.targetId);
				return isCold(entry.targetId)
					? {
							waitMs: pool.waitMs(target),
							intervalMs: pool.intervalMs(target),
							isCold: true,
						}
					: undefined;
			},
		};
	});
	const takeTurn = (targetId: string) => {
		if (isCold(targetId)) {
			pool.take({
				targets: [targetOf(targetId)],
				maxWaitMs: Infinity,
				isUrgent: false,
			});
		}
	};

	return {time, entries, takeTurn};
}

/** Places all generations; returns how many could not be placed at once. */
async function countDelayed(coldCount: number): Promise<number> {
	const {time, entries, takeTurn} = coldTurns(coldCount);
	const {place, advanceTo} = startTestScheduler(entries, takeTurn);
	const ends: Array<{id: string; atMs: number}> = [];
	let delayed = 0;
	for (const {atMs, request} of arrivals()) {
		const ended = ends.filter((end) => end.atMs <= atMs).map(({id}) => id);
		await advanceTo(atMs, ended);
		await time.runUntil(atMs);
		const {outcome} = place(request);
		delayed += outcome === 'placed' ? 0 : 1;
		const firstTokenMs = request.promptTokens / 14;
		const endMs = atMs + firstTokenMs + request.expectedTokens * stepMs;
		ends.push({id: request.id, atMs: endMs});
	}

	return delayed;
}

suite('cold engines', () => {
	test('a burst of generations finds turns at engines of which a third or all are cold, so that none loses time', async () => {
		const delayed = await Promise.all(
			[0, 11, engineCount].map(async (count) => countDelayed(count)),
		);
		assert.deepEqual(delayed, [0, 0, 0]);
	});

	test('a cold engine holds the initial copy of a run, as its limit ends before the copy is needed', () => {
		const turns = {waitMs: 30, intervalMs: 36, isCold: true};
		const {place} = startTestScheduler([
			fakeEngineEntry('e1', {capacityTokens: 40_000}),
			fakeEngineEntry('e2', {capacityTokens: 60_000, turns}),
			fakeEngineEntry('e3', {capacityTokens: 40_000}),
		]);
		const decision = place(fakePlacementRequest('q1'));
		assert.ok(decision.outcome === 'placed');
		assert.equal(decision.placement.copyTargetId, 'e2');
	});
});
