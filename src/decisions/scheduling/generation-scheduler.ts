import type {Clock, RandomSource} from '../../common/index.js';
import {
	compareRanks,
	neededTokens,
	type PendingGeneration,
	queueRank,
} from './generation-queue.js';
import type {RunRegistry} from './run-registry.js';
import {
	createServiceMemory,
	type EngineEntry,
	type EngineSelection,
	type ServiceMemory,
} from './service-memory.js';
import type {Placement, PlacementDecision, PlacementRequest} from './types.js';

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

const minRetryAfterMs = 300;
/** Range of the time after which a shortage of memory may be over; callers are spread over it. */
const shortageMs = {least: 1500, most: 8000} as const;
/** Time for which a placement is repeated to a VM that sends its request again, in milliseconds. */
const placementRetentionMs = 1500;
/** Largest fraction of its remaining time after which a caller may try again; it ignores longer advice. */
const retryAfterFraction = 0.33;

/**
 * Creates a scheduler with an empty queue. The queue is shared by all VMs that send it requests, and each
 * placement reserves its memory at once, so that no two VMs get the same memory.
 */
export function createGenerationScheduler(
	options: GenerationSchedulerOptions,
): GenerationScheduler {
	const {clock, random, registry} = options;
	const queue = new Map<string, PendingGeneration>();
	/** Recent placements, in the order of time, for VMs that did not get the decision. */
	const recentPlacements = new Map<
		string,
		{decision: PlacementDecision; atMs: number}
	>();
	const keyOf = (vm: string, requestId: string) => `${vm} ${requestId}`;

	const memoryOf = (service: string) =>
		createServiceMemory({
			clock,
			random,
			registry,
			engines: options.engines(service),
		});

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
		recentPlacements.set(keyOf(vm, request.id), {
			decision,
			atMs: clock.nowMs(),
		});
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

	/** Time after which a caller that finds no memory now may try again, in milliseconds. */
	const shortageRetryAfterMs = (request: PlacementRequest): number => {
		const {least, most} = shortageMs;
		const spreadMs = least + (most - least) * random.nextUnit();
		const longestMs = retryAfterFraction * request.remainingMs;
		// Callers with little time left are spread over the part of it that they may wait.
		return Math.max(
			minRetryAfterMs,
			spreadMs > longestMs
				? longestMs * (0.5 + random.nextUnit() / 2)
				: spreadMs,
		);
	};

	/** Queued generations of the same service that precede a new one: their number and the memory they need. */
	const aheadOf = (generation: PendingGeneration) => {
		const nowMs = clock.nowMs();
		const rank = queueRank(generation, nowMs);
		let tokens = 0;
		let count = 0;
		for (const other of queue.values()) {
			if (
				other.request.service === generation.request.service &&
				other.request.id !== generation.request.id &&
				compareRanks(queueRank(other, nowMs), rank) < 0
			) {
				tokens += neededTokens(other.request);
				count++;
			}
		}

		return {tokens, count};
	};

	/** Queues a new generation, or refuses one that would find no engine before its longest wait is over. */
	const waitOrRefuse = (
		generation: PendingGeneration,
		memory: ServiceMemory,
	): PlacementDecision => {
		const {request} = generation;
		const ahead = aheadOf(generation);
		const turnDelayMs = memory.turnDelayMs(request, ahead.count);
		if (turnDelayMs > memory.remainingWaitMs(generation)) {
			return refused('the engines limit their request rate', turnDelayMs);
		}

		return memory.fitsInTime(generation, ahead.tokens)
			? {outcome: 'waiting', waitingCount: queue.size}
			: refused('no engine has memory in time', shortageRetryAfterMs(request));
	};

	/** Decides without regard to the order of the queue, which the callers keep. */
	const decide = (
		generation: PendingGeneration,
		memory: ServiceMemory,
		isNew: boolean,
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
		if (selection) {
			return place(generation, memory, selection);
		}

		if (isNew) {
			return waitOrRefuse(generation, memory);
		}

		return memory.remainingWaitMs(generation) > 0
			? {outcome: 'waiting', waitingCount: queue.size}
			: refused('no engine has memory in time', shortageRetryAfterMs(request));
	};

	/** True if no queued generation of the same service precedes this one. */
	const isNext = (generation: PendingGeneration): boolean => {
		const nowMs = clock.nowMs();
		const rank = queueRank(generation, nowMs);
		return [...queue.values()].every(
			(other) =>
				other.request.service !== generation.request.service ||
				compareRanks(rank, queueRank(other, nowMs)) <= 0,
		);
	};

	/** Decides on a request that has just been received; it does not overtake queued generations. */
	const admit = (
		generation: PendingGeneration,
		isNew: boolean,
	): PlacementDecision => {
		const {request} = generation;
		const memory = memoryOf(request.service);
		if (request.purpose === 'copy' || isNext(generation)) {
			return decide(generation, memory, isNew);
		}

		return isNew
			? waitOrRefuse(generation, memory)
			: {outcome: 'waiting', waitingCount: queue.size};
	};

	const queueByRank = () => {
		const nowMs = clock.nowMs();
		return [...queue]
			.map(([key, generation]) => ({
				key,
				generation,
				rank: queueRank(generation, nowMs),
			}))
			.sort((a, b) => compareRanks(a.rank, b.rank));
	};

	const removeOldPlacements = () => {
		const nowMs = clock.nowMs();
		for (const [key, {atMs}] of recentPlacements) {
			if (nowMs - atMs < placementRetentionMs) {
				return;
			}

			recentPlacements.delete(key);
		}
	};

	const tick = () => {
		removeOldPlacements();
		if (queue.size === 0) {
			return;
		}

		const memories = new Map<string, ServiceMemory>();
		for (const {key, generation} of queueByRank()) {
			const {request, vm} = generation;
			const memory = memories.get(request.service) ?? memoryOf(request.service);
			memories.set(request.service, memory);
			const decision = decide(generation, memory, false);
			if (decision.outcome !== 'waiting') {
				queue.delete(key);
				options.onDecision(vm, request, decision);
			}

			// A placement makes the snapshot out of date.
			if (decision.outcome === 'placed') {
				memories.delete(request.service);
			}
		}
	};

	return {
		get waitingCount() {
			return queue.size;
		},
		place(vm, request) {
			const generation: PendingGeneration = {
				request,
				vm,
				receivedMs: clock.nowMs(),
			};
			const key = keyOf(vm, request.id);
			const previous = recentPlacements.get(key);
			if (previous) {
				return previous.decision;
			}

			const decision = admit(generation, !queue.has(key));
			if (decision.outcome === 'waiting') {
				queue.set(key, queue.get(key) ?? generation);
			}

			return decision;
		},
		cancel(vm, requestId) {
			queue.delete(keyOf(vm, requestId));
			recentPlacements.delete(keyOf(vm, requestId));
			registry.release(vm, requestId);
		},
		tick,
	};
}
