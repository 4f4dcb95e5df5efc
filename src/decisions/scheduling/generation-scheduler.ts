import type {Clock, RandomSource} from '../../common/index.js';
import {
	neededTokens,
	queueRank,
	type PendingGeneration,
} from './generation-queue.js';
import type {RunRegistry} from './run-registry.js';
import {
	type EngineSelection,
	createServiceMemory,
	type EngineEntry,
	type ServiceMemory,
} from './service-memory.js';
import type {PlacementDecision, PlacementRequest, Placement} from './types.js';

/** What a scheduler decides with. */
export type GenerationSchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly registry: RunRegistry;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	/** Receives the answer to a demand that had to wait. */
	readonly onDecision: (
		vm: string,
		demand: PlacementRequest,
		answer: PlacementDecision,
	) => void;
};

/** Places generations on engines, or lets them wait. */
export type GenerationScheduler = {
	/** Generations that wait. */
	readonly waitingCount: number;
	/** @returns the answer as far as it is known now */
	place(vm: string, demand: PlacementRequest): PlacementDecision;
	/** The demand is no longer of use. */
	cancel(vm: string, demandId: string): void;
	/** Places what waits, as far as memory was freed; called regularly and after changes. */
	tick(): void;
};

const minRetryAfterMs = 300;
/** Time in which a shortage of memory may pass, in milliseconds; callers come back spread over it. */
const shortageMs = {least: 1500, most: 8000} as const;
/** Time for which a placement is repeated to a VM that asks again, in milliseconds. */
const rememberMs = 1500;
/** Part of the caller's time up to which it follows an advice. */
const retryAfterPart = 0.33;

/**
 * Creates a scheduler without demands. It keeps the only queue of all VMs that ask it, and counts each
 * placement at once, so that no two VMs take the same memory.
 */
export function createGenerationScheduler(
	options: GenerationSchedulerOptions,
): GenerationScheduler {
	const {clock, random, registry} = options;
	const queue = new Map<string, PendingGeneration>();
	/** Placements of late, in case a VM asks again because the answer was lost. */
	const placed = new Map<string, {answer: PlacementDecision; atMs: number}>();
	const keyOf = (vm: string, demandId: string) => `${vm} ${demandId}`;

	const memoryOf = (service: string) =>
		createServiceMemory({
			clock,
			random,
			registry: registry,
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
		const placement: Placement = {
			targetId: engine.targetId,
			copyTargetId,
			firstTokenMs: engine.firstTokenMs,
			memoryFraction: engine.memoryFraction,
			isLate,
		};
		const answer: PlacementDecision = {outcome: 'placed', placement};
		placed.set(keyOf(vm, request.id), {answer, atMs: clock.nowMs()});
		return answer;
	};

	const refused = (
		reason: string,
		retryAfterMs: number,
	): PlacementDecision => ({
		outcome: 'refused',
		reason,
		retryAfterMs,
	});

	/** When a caller may come back that finds no memory now. */
	const retryAfter = (demand: PlacementRequest): number => {
		const {least, most} = shortageMs;
		const soonMs = least + (most - least) * random.nextUnit();
		const mostMs = retryAfterPart * demand.remainingMs;
		// Callers with little time are spread over what they have.
		return Math.max(
			minRetryAfterMs,
			soonMs > mostMs ? mostMs * (0.5 + random.nextUnit() / 2) : soonMs,
		);
	};

	/** Memory that goes to those that wait and go ahead of a demand. */
	const aheadTokens = (waiting: PendingGeneration): number => {
		const nowMs = clock.nowMs();
		const rank = queueRank(waiting, nowMs);
		let tokens = 0;
		for (const other of queue.values()) {
			if (
				other.request.service === waiting.request.service &&
				other.request.id !== waiting.request.id &&
				queueRank(other, nowMs) < rank
			) {
				tokens += neededTokens(other.request);
			}
		}

		return tokens;
	};

	/** Answers a demand, or lets it wait. */
	const decide = (
		waiting: PendingGeneration,
		memory: ServiceMemory,
		isNew: boolean,
	): PlacementDecision => {
		const {request} = waiting;
		const reason = memory.infeasibleReason(request);
		if (reason) {
			return refused(reason, minRetryAfterMs);
		}

		if (request.purpose === 'copy') {
			const engine = memory.chooseEvacuationEngine(request);
			return engine
				? place(waiting, memory, {engine, isLate: false})
				: refused('no engine has room for a copy', minRetryAfterMs);
		}

		const chosen = memory.chooseForRun(waiting);
		if (chosen) {
			return place(waiting, memory, chosen);
		}

		const mayWait = isNew
			? memory.fitsInTime(waiting, aheadTokens(waiting))
			: memory.remainingWaitMs(waiting) > 0;
		return mayWait
			? {outcome: 'waiting', waitingCount: queue.size}
			: refused('no engine has memory in time', retryAfter(request));
	};

	/** True if no generation of the service that waits goes ahead of this one. */
	const isNext = (waiting: PendingGeneration): boolean => {
		const nowMs = clock.nowMs();
		const rank = queueRank(waiting, nowMs);
		return [...queue.values()].every(
			(other) =>
				other.request.service !== waiting.request.service ||
				rank <= queueRank(other, nowMs),
		);
	};

	/** Answers a demand that has just come, or was asked again. */
	const admit = (
		waiting: PendingGeneration,
		isNew: boolean,
	): PlacementDecision => {
		const {request} = waiting;
		const memory = memoryOf(request.service);
		if (request.purpose === 'copy' || isNext(waiting)) {
			return decide(waiting, memory, isNew);
		}

		return !isNew || memory.fitsInTime(waiting, aheadTokens(waiting))
			? {outcome: 'waiting', waitingCount: queue.size}
			: refused('no engine has memory in time', retryAfter(request));
	};

	const byRank = () => {
		const nowMs = clock.nowMs();
		return [...queue]
			.map(([key, waiting]) => ({
				key,
				waiting,
				rank: queueRank(waiting, nowMs),
			}))
			.sort((a, b) => a.rank - b.rank);
	};

	const forgetPlaced = () => {
		const nowMs = clock.nowMs();
		for (const [key, {atMs}] of placed) {
			if (nowMs - atMs < rememberMs) {
				return;
			}

			placed.delete(key);
		}
	};

	const tick = () => {
		forgetPlaced();
		if (queue.size === 0) {
			return;
		}

		const memories = new Map<string, ServiceMemory>();
		for (const {key, waiting} of byRank()) {
			const {request, vm} = waiting;
			const memory = memories.get(request.service) ?? memoryOf(request.service);
			memories.set(request.service, memory);
			const answer = decide(waiting, memory, false);
			if (answer.outcome !== 'waiting') {
				queue.delete(key);
				options.onDecision(vm, request, answer);
			}

			if (answer.outcome === 'placed') {
				memories.delete(request.service);
			}
		}
	};

	return {
		get waitingCount() {
			return queue.size;
		},
		place(vm, request) {
			const waiting: PendingGeneration = {
				request,
				vm,
				receivedMs: clock.nowMs(),
			};
			const key = keyOf(vm, request.id);
			const before = placed.get(key);
			if (before) {
				return before.answer;
			}

			const answer = admit(waiting, !queue.has(key));
			if (answer.outcome === 'waiting') {
				queue.set(key, queue.get(key) ?? waiting);
			}

			return answer;
		},
		cancel(vm, demandId) {
			queue.delete(keyOf(vm, demandId));
			placed.delete(keyOf(vm, demandId));
			registry.release(vm, demandId);
		},
		tick,
	};
}
