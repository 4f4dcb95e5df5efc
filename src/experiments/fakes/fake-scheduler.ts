import {SeededRandomSource} from '../../common/index.js';
import {
	createGenerationScheduler,
	createRunRegistry,
	type EngineEntry,
	type PlacementDecision,
	type PlacementRequest,
} from '../../decisions/scheduling/index.js';
import {VirtualTime} from './virtual-time.js';

/** Creates an engine with memory for a few of the default placement requests. */
export const fakeEngineEntry = (
	targetId: string,
	changes: Partial<EngineEntry> = {},
): EngineEntry => ({
	targetId,
	availabilityZone: 'zone-1',
	slotCount: 24,
	capacityTokens: 20_000,
	isOutlier: false,
	turns: undefined,
	...changes,
});

/** Creates a request to place a long generation that has not started. */
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
	isPrecaution: false,
	account: '',
	...changes,
});

/** Creates a request for a generation that ends, and frees its memory, within the time that others may wait. */
export const fakeMediumRequest = (
	id: string,
	changes: Partial<PlacementRequest> = {},
): PlacementRequest =>
	fakePlacementRequest(id, {expectedTokens: 300, ...changes});

/** Returns the id of the engine of a placement, or the other outcome of the decision. */
export const targetOfDecision = (decision: PlacementDecision): string =>
	decision.outcome === 'placed'
		? decision.placement.targetId
		: decision.outcome;

/**
 * Starts a generation scheduler in virtual time. All placement requests come from one VM, `vm-1`.
 * @param engines - engines of the service; the array may be changed later
 * @param takeTurn - called when a run is placed
 */
export function startTestScheduler(
	engines: EngineEntry[],
	takeTurn: (targetId: string) => void = () => undefined,
) {
	const time = new VirtualTime();
	const registry = createRunRegistry(time);
	/** Decisions on requests that had been queued. */
	const decisions: Array<{id: string; decision: PlacementDecision}> = [];
	const scheduler = createGenerationScheduler({
		clock: time,
		random: new SeededRandomSource(5),
		registry,
		engines: () => engines,
		takeTurn,
		onDecision(_vm, {id}, decision) {
			decisions.push({id, decision});
		},
	});

	/**
	 * Removes ended runs, then advances the time, with a tick of the scheduler every 25 ms. The other
	 * runs stay registered without further reports.
	 * @param untilMs - virtual time in milliseconds
	 * @param endedIds - ids of the runs that have ended
	 */
	const advanceTo = async (
		untilMs: number,
		endedIds: readonly string[] = [],
	) => {
		for (const id of endedIds) {
			registry.remove('vm-1', id);
		}

		for (let atMs = time.nowMs(); atMs < untilMs;) {
			atMs = Math.min(untilMs, atMs + 25);
			await time.runUntil(atMs);
			scheduler.tick();
		}
	};

	/** Requests a placement and, if it is made at once, reports the run as the VM would. */
	const place = (request: PlacementRequest): PlacementDecision => {
		const decision = scheduler.place('vm-1', request);
		if (decision.outcome === 'placed') {
			registry.set('vm-1', {
				id: request.id,
				targetId: decision.placement.targetId,
				copyTargetId: decision.placement.copyTargetId,
				promptTokens: request.promptTokens,
				doneTokens: 0,
				remainingTokens: request.expectedTokens,
				priority: request.priority,
				account: request.account,
			});
		}

		return decision;
	};

	return {time, registry, scheduler, decisions, place, advanceTo};
}
