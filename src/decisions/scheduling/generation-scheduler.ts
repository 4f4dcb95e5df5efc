import type {Clock, RandomSource} from '../../common/index.js';
import {type AccountStanding, createAccountUsage} from './account-usage.js';
import {neededTokens, type PendingGeneration} from './generation-queue.js';
import {createRecentPlacements} from './recent-placements.js';
import {createRetryAdvice, minRetryAfterMs} from './retry-advice.js';
import type {RunRegistry} from './run-registry.js';
import type {
	EngineEntry,
	EngineSelection,
	ServiceMemory,
} from './service-memory-types.js';
import {createServiceMemory} from './service-memory.js';
import type {Placement, PlacementDecision, PlacementRequest} from './types.js';
import {createUrgentDemandEstimator} from './urgent-demand.js';
import {createWaitingGenerations} from './waiting-generations.js';

export type GenerationSchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly registry: RunRegistry;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	/** Takes the turn of a new request at an engine that limits its request rate. */
	readonly takeTurn: (targetId: string) => void;
	/** Called with the final decision on a request that was queued. */
	readonly onDecision: (
		vm: string,
		request: PlacementRequest,
		decision: PlacementDecision,
	) => void;
};

/**
 * Places generations on engines, queues those that have to wait for memory or for their turn at engines
 * that limit their request rate, and refuses those that would not find any in time. VMs are named by their address.
 */
export type GenerationScheduler = {
	/** Number of requests in the queue. */
	readonly waitingCount: number;
	/**
	 * Decides on a request that is new, or sent again under the same id.
	 * @returns `waiting` if the request is queued; `onDecision` gets the final decision
	 */
	place(vm: string, request: PlacementRequest): PlacementDecision;
	/** Withdraws a request and releases the memory reserved for it. */
	cancel(vm: string, requestId: string): void;
	/** Decides on the queued requests again; called periodically and after runs have changed. */
	tick(): void;
};

/** Least probability of being served with which a new generation is queued. */
const minNewChance = 0.7;
/** Probability of being served below which a queued generation is refused. */
const minWaitingChance = 0.25;
/** A request that has waited longer was queued by another coordinator before, in milliseconds. */
const renewedMs = 350;
/** Reason of a refusal for want of memory, by the standing of the client account. */
const memoryReasons: Readonly<Record<AccountStanding, string>> = {
	below: 'no engine has memory in time',
	above: 'no engine has memory in time, account above its share',
	'far above': 'no engine has memory in time, account far above its share',
};

/**
 * Creates a scheduler with an empty queue. The queue is shared by all VMs that send it requests, and each
 * placement reserves its memory at once, so that no two VMs get the same memory.
 */
export function createGenerationScheduler(
	options: GenerationSchedulerOptions,
): GenerationScheduler {
	const {clock, random, registry} = options;
	const accounts = createAccountUsage(clock);
	const queue = createWaitingGenerations(clock, accounts);
	const recentPlacements = createRecentPlacements(clock);
	const advice = createRetryAdvice(clock, random);
	const demand = createUrgentDemandEstimator(clock);
	const keyOf = (vm: string, requestId: string) => `${vm} ${requestId}`;

	const memoryOf = (service: string) => {
		const engines = options.engines(service);
		accounts.update(service, () => registry.accountTokens(engines));
		return createServiceMemory({
			clock,
			random,
			registry,
			engines,
			moreUrgentThan: (priority) => demand.moreUrgentThan(service, priority),
		});
	};

	const place = (
		{vm, request}: PendingGeneration,
		memory: ServiceMemory,
		{engine, isLate}: EngineSelection,
	): PlacementDecision => {
		const copyTargetId =
			request.purpose === 'run'
				? memory.chooseInitialCopyEngine(request, engine.targetId)
				: undefined;
		registry.reserve(vm, {
			id: request.id,
			targetId: engine.targetId,
			copyTargetId,
			promptTokens: request.promptTokens,
			doneTokens: request.doneTokens,
			remainingTokens: request.expectedTokens,
			priority: request.priority,
			account: request.account,
		});
		if (request.purpose === 'run') {
			options.takeTurn(engine.targetId);
		}

		const placement: Placement = {
			targetId: engine.targetId,
			copyTargetId,
			firstTokenMs: engine.firstTokenMs,
			memoryFraction: engine.memoryFraction,
			isLate,
		};
		const decision: PlacementDecision = {outcome: 'placed', placement};
		recentPlacements.add(keyOf(vm, request.id), decision);
		return decision;
	};

	const refused = (
		reason: string,
		retryAfterMs: number,
	): PlacementDecision => ({
		outcome: 'refused',
		reason,
		retryAfterMs,
	});

	const refusedForMemory = (
		{request, receivedMs}: PendingGeneration,
		memory: ServiceMemory,
		aheadTokens: number,
	) => {
		const {service, priority} = request;
		const remainingMs = request.remainingMs - (clock.nowMs() - receivedMs);
		const arriving = demand.arrivingTokensPerMs(service, priority);
		return refused(
			memoryReasons[accounts.standingOf(service, request.account)],
			advice.retryAfterMs(
				{...request, remainingMs},
				memory,
				aheadTokens,
				arriving,
			),
		);
	};

	/** Queues a new generation, or refuses one that would find no engine before its longest wait is over. */
	const waitOrRefuse = (
		generation: PendingGeneration,
		memory: ServiceMemory,
	): PlacementDecision => {
		const {request} = generation;
		const ahead = queue.aheadOf(generation);
		const turnDelayMs = memory.turnDelayMs(request, ahead.count);
		if (turnDelayMs > memory.remainingWaitMs(generation)) {
			return refused('the engines limit their request rate', turnDelayMs);
		}

		const isRenewed = request.waitedMs > renewedMs;
		const leastChance = isRenewed ? minWaitingChance : minNewChance;
		return memory.serviceChance(generation, ahead.tokens) >= leastChance
			? {outcome: 'waiting', waitingCount: queue.size}
			: refusedForMemory(generation, memory, ahead.tokens);
	};

	/**
	 * Decides without regard to the order of the queue, which the callers keep.
	 * @param wait - decides on a generation for which no engine has room now
	 */
	const decide = (
		generation: PendingGeneration,
		memory: ServiceMemory,
		wait: () => PlacementDecision,
	): PlacementDecision => {
		const {request} = generation;
		const reason = memory.infeasibleReason(request);
		if (reason) {
			return refused(reason, minRetryAfterMs);
		}

		if (request.purpose === 'copy') {
			const engine = memory.chooseEvacuationEngine(request);
			return engine
				? place(generation, memory, {engine, isLate: false})
				: refused('no engine has room for a copy', minRetryAfterMs);
		}

		const selection = memory.chooseForRun(generation);
		return selection ? place(generation, memory, selection) : wait();
	};

	/** True if no queued generation of the same service precedes this one. */
	const isNext = (generation: PendingGeneration): boolean =>
		queue.aheadOf(generation).count === 0;

	/** Decides on a request that has just been received; it does not overtake queued generations. */
	const admit = (
		generation: PendingGeneration,
		isNew: boolean,
	): PlacementDecision => {
		const {request} = generation;
		const memory = memoryOf(request.service);
		const wait = (): PlacementDecision =>
			isNew
				? waitOrRefuse(generation, memory)
				: {outcome: 'waiting', waitingCount: queue.size};
		const isDecided =
			request.purpose === 'copy' ||
			memory.infeasibleReason(request) !== undefined ||
			isNext(generation);
		return isDecided ? decide(generation, memory, wait) : wait();
	};

	/** Refuses a queued generation that is not likely any more to find memory before its longest wait is over. */
	const waitOn = (
		generation: PendingGeneration,
		memory: ServiceMemory,
		aheadTokens: number,
	): PlacementDecision =>
		memory.remainingWaitMs(generation) > 0 &&
		memory.serviceChance(generation, aheadTokens) >= minWaitingChance
			? {outcome: 'waiting', waitingCount: queue.size}
			: refusedForMemory(generation, memory, aheadTokens);

	const tick = () => {
		recentPlacements.removeOld();
		if (queue.size === 0) {
			return;
		}

		const memories = new Map<string, ServiceMemory>();
		const tokensAhead = new Map<string, number>();
		for (const {key, generation} of queue.inOrder()) {
			const {request, vm} = generation;
			const {service} = request;
			const memory = memories.get(service) ?? memoryOf(service);
			memories.set(service, memory);
			const aheadTokens = tokensAhead.get(service) ?? 0;
			const decision = decide(generation, memory, () =>
				waitOn(generation, memory, aheadTokens),
			);
			if (decision.outcome === 'waiting') {
				tokensAhead.set(service, aheadTokens + neededTokens(request));
				continue;
			}

			queue.delete(key);
			options.onDecision(vm, request, decision);
			// A placement makes the snapshot out of date.
			if (decision.outcome === 'placed') {
				memories.delete(service);
			}
		}
	};

	return {
		get waitingCount() {
			return queue.size;
		},
		place(vm, request) {
			const receivedMs = clock.nowMs();
			const generation: PendingGeneration = {request, vm, receivedMs};
			const key = keyOf(vm, request.id);
			const previous = recentPlacements.get(key);
			if (previous) {
				return previous;
			}

			const queued = queue.get(key);
			if (!queued && request.purpose === 'run') {
				demand.record(request);
				accounts.recordRequest(request.service, request.account);
			}

			const decision = admit(generation, !queued);
			if (decision.outcome === 'waiting') {
				queue.set(key, queued ?? generation);
			} else {
				queue.delete(key);
			}

			return decision;
		},
		cancel(vm, requestId) {
			const key = keyOf(vm, requestId);
			queue.delete(key);
			recentPlacements.delete(key);
			registry.release(vm, requestId);
		},
		tick,
	};
}
