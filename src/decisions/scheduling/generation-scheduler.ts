import type {Clock, RandomSource} from '../../common/index.js';
import {neededTokens, queueRank, type Waiting} from './generation-queue.js';
import type {RunBook} from './run-book.js';
import {
	type Chosen,
	createServiceMemory,
	type EngineEntry,
	type ServiceMemory,
} from './service-memory.js';
import type {PlaceAnswer, PlaceDemand, Placement} from './types.js';

/** What a scheduler decides with. */
export type GenerationSchedulerOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly book: RunBook;
	/** Engines of a service that take requests now. */
	readonly engines: (service: string) => readonly EngineEntry[];
	/** Receives the answer to a demand that had to wait. */
	readonly onAnswer: (
		vm: string,
		demand: PlaceDemand,
		answer: PlaceAnswer,
	) => void;
};

/** Places generations on engines, or lets them wait. */
export type GenerationScheduler = {
	/** Generations that wait. */
	readonly waitingCount: number;
	/** @returns the answer as far as it is known now */
	place(vm: string, demand: PlaceDemand): PlaceAnswer;
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
	const {clock, random, book} = options;
	const queue = new Map<string, Waiting>();
	/** Placements of late, in case a VM asks again because the answer was lost. */
	const placed = new Map<string, {answer: PlaceAnswer; atMs: number}>();
	const keyOf = (vm: string, demandId: string) => `${vm} ${demandId}`;

	const memoryOf = (service: string) =>
		createServiceMemory({
			clock,
			random,
			book,
			engines: options.engines(service),
		});

	const place = (
		{vm, demand}: Waiting,
		memory: ServiceMemory,
		{choice, isLate}: Chosen,
	): PlaceAnswer => {
		const copyTargetId =
			demand.purpose === 'run'
				? memory.chooseBackup(demand, choice.targetId)
				: undefined;
		book.reserve(vm, {
			id: demand.id,
			targetId: choice.targetId,
			copyTargetId,
			promptTokens: demand.promptTokens,
			doneTokens: demand.doneTokens,
			remainingTokens: demand.expectedTokens,
			priority: demand.priority,
		});
		const placement: Placement = {
			targetId: choice.targetId,
			copyTargetId,
			firstTokenMs: choice.firstTokenMs,
			memoryPart: choice.memoryPart,
			isLate,
		};
		const answer: PlaceAnswer = {outcome: 'placed', placement};
		placed.set(keyOf(vm, demand.id), {answer, atMs: clock.nowMs()});
		return answer;
	};

	const refused = (reason: string, retryAfterMs: number): PlaceAnswer => ({
		outcome: 'refused',
		reason,
		retryAfterMs,
	});

	/** When a caller may come back that finds no memory now. */
	const retryAfter = (demand: PlaceDemand): number => {
		const {least, most} = shortageMs;
		const soonMs = least + (most - least) * random.nextUnit();
		const mostMs = retryAfterPart * demand.leftMs;
		// Callers with little time are spread over what they have.
		return Math.max(
			minRetryAfterMs,
			soonMs > mostMs ? mostMs * (0.5 + random.nextUnit() / 2) : soonMs,
		);
	};

	/** Memory that goes to those that wait and go ahead of a demand. */
	const aheadTokens = (waiting: Waiting): number => {
		const nowMs = clock.nowMs();
		const rank = queueRank(waiting, nowMs);
		let tokens = 0;
		for (const other of queue.values()) {
			if (
				other.demand.service === waiting.demand.service &&
				other.demand.id !== waiting.demand.id &&
				queueRank(other, nowMs) < rank
			) {
				tokens += neededTokens(other.demand);
			}
		}

		return tokens;
	};

	/** Answers a demand, or lets it wait. */
	const decide = (
		waiting: Waiting,
		memory: ServiceMemory,
		isNew: boolean,
	): PlaceAnswer => {
		const {demand} = waiting;
		const reason = memory.impossible(demand);
		if (reason) {
			return refused(reason, minRetryAfterMs);
		}

		if (demand.purpose === 'copy') {
			const choice = memory.chooseKeeper(demand);
			return choice
				? place(waiting, memory, {choice, isLate: false})
				: refused('no engine has room for a copy', minRetryAfterMs);
		}

		const chosen = memory.chooseForRun(waiting);
		if (chosen) {
			return place(waiting, memory, chosen);
		}

		const mayWait = isNew
			? memory.isHopeful(waiting, aheadTokens(waiting))
			: memory.leftForWaitMs(waiting) > 0;
		return mayWait
			? {outcome: 'waiting', ahead: queue.size}
			: refused('no engine has memory in time', retryAfter(demand));
	};

	/** True if no generation of the service that waits goes ahead of this one. */
	const isNext = (waiting: Waiting): boolean => {
		const nowMs = clock.nowMs();
		const rank = queueRank(waiting, nowMs);
		return [...queue.values()].every(
			(other) =>
				other.demand.service !== waiting.demand.service ||
				rank <= queueRank(other, nowMs),
		);
	};

	/** Answers a demand that has just come, or was asked again. */
	const admit = (waiting: Waiting, isNew: boolean): PlaceAnswer => {
		const {demand} = waiting;
		const memory = memoryOf(demand.service);
		if (demand.purpose === 'copy' || isNext(waiting)) {
			return decide(waiting, memory, isNew);
		}

		return !isNew || memory.isHopeful(waiting, aheadTokens(waiting))
			? {outcome: 'waiting', ahead: queue.size}
			: refused('no engine has memory in time', retryAfter(demand));
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
			const {demand, vm} = waiting;
			const memory = memories.get(demand.service) ?? memoryOf(demand.service);
			memories.set(demand.service, memory);
			const answer = decide(waiting, memory, false);
			if (answer.outcome !== 'waiting') {
				queue.delete(key);
				options.onAnswer(vm, demand, answer);
			}

			if (answer.outcome === 'placed') {
				memories.delete(demand.service);
			}
		}
	};

	return {
		get waitingCount() {
			return queue.size;
		},
		place(vm, demand) {
			const waiting: Waiting = {demand, vm, sinceMs: clock.nowMs()};
			const key = keyOf(vm, demand.id);
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
			book.release(vm, demandId);
		},
		tick,
	};
}
