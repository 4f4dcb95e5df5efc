import {SeededRandomSource} from '../../common/index.js';
import {
	createGenerationScheduler,
	createRunRegistry,
	type EngineEntry,
	type PlacementDecision,
	type PlacementRequest,
} from '../../decisions/scheduling/index.js';
import {VirtualTime} from './virtual-time.js';

/** An engine with memory for some reports. */
export const fakeEngineEntry = (
	targetId: string,
	changes: Partial<EngineEntry> = {},
): EngineEntry => ({
	targetId,
	availabilityZone: 'zone-1',
	slotCount: 24,
	capacityTokens: 20_000,
	isOutlier: false,
	...changes,
});

/** A long generation. */
export const fakePlacementRequest = (
	id: string,
	changes: Partial<PlacementRequest> = {},
): PlacementRequest => ({
	id,
	service: 'model',
	purpose: 'run',
	promptTokens: 3000,
	expectedTokens: 700,
	doneTokens: 0,
	preferredZone: 'zone-1',
	excludedTargetIds: [],
	previousWaitMs: 0,
	waitedMs: 0,
	objectiveMs: 5000,
	remainingMs: 39_000,
	priority: 0,
	...changes,
});

/** Starts a scheduler whose engines, runs and time a test plays. */
export function startTestScheduler(engines: EngineEntry[]) {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	const answers: Array<{id: string; answer: PlacementDecision}> = [];
	const scheduler = createGenerationScheduler({
		clock: time,
		random: new SeededRandomSource(5),
		registry,
		engines: () => engines,
		onDecision(_vm, {id}, answer) {
			answers.push({id, answer});
		},
	});

	/** Lets time pass while all VMs go on to tell of their runs. */
	const pass = async (untilMs: number, ended: readonly string[] = []) => {
		for (const id of ended) {
			registry.remove('vm-1', id);
		}

		for (let atMs = time.nowMs(); atMs < untilMs;) {
			atMs = Math.min(untilMs, atMs + 25);
			await time.runUntil(atMs);
			scheduler.tick();
		}
	};

	/** Places a demand and has its VM tell of the run. */
	const place = (demand: PlacementRequest): PlacementDecision => {
		const answer = scheduler.place('vm-1', demand);
		if (answer.outcome === 'placed') {
			registry.set('vm-1', {
				id: demand.id,
				targetId: answer.placement.targetId,
				copyTargetId: answer.placement.copyTargetId,
				promptTokens: demand.promptTokens,
				doneTokens: 0,
				remainingTokens: demand.expectedTokens,
				priority: 0,
			});
		}

		return answer;
	};

	return {time, book: registry, scheduler, answers, place, pass};
}
