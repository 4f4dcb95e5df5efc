import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineChoice,
} from './engine-placement.js';
import {
	queueRank,
	slackMs,
	type Waiting,
	waitedMs,
} from './generation-queue.js';
import {peakTokens, tokensUntilFree} from './memory-forecast.js';
import type {RunBook} from './run-book.js';
import type {PlaceAnswer, PlaceDemand, Placement} from './types.js';

/** An engine as the directory has it. */
export type EngineEntry = Omit<EngineCandidate, 'tokenMs' | 'use'>;

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

/** Part of an engine's memory that may be in use at the forecast peak. */
const engineMemoryPart = 0.92;
/** The same for runs whose engine leaves: a preemption is no worse than their loss. */
const evacuationMemoryPart = 1;
/** Part of the memory of all engines up to which generations are begun; engines leave at any time. */
const fleetMemoryPart = 0.86;
/** The same for generations that are late already. */
const lateFleetMemoryPart = 0.72;
/** Part of the memory of all engines up to which runs get a copy from the start. */
const copyFleetMemoryPart = 0.78;
/** Generations shorter than this end before a copy of their memory would be of use. */
const minCopyTokens = 100;
/** Part of its whole time that a late generation waits; the rest is for the answer. */
const latePart = 0.3;
/** After this many demands without room the others of the moment are not tried. */
const maxMisses = 4;
const minRetryAfterMs = 300;
/** Time for which a placement is repeated to a VM that asks again, in milliseconds. */
const rememberMs = 1500;
/** Callers that were refused together come back spread over this part of the time. */
const retrySpread = 0.4;
/** Part of the caller's time up to which it follows an advice. */
const retryAfterPart = 0.33;

type Service = {
	readonly candidates: readonly EngineCandidate[];
	readonly capacityTokens: number;
	/** Sum of the forecast peaks. */
	readonly peakTokens: number;
	/** Demands for which no engine had room since this was worked out. */
	misses: number;
};

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

	const serviceOf = (service: string): Service => {
		const candidates = options.engines(service).map((entry) => ({
			...entry,
			use: book.use(entry.targetId),
			tokenMs: book.tokenMs(entry.targetId),
		}));
		let capacityTokens = 0;
		let peak = 0;
		for (const candidate of candidates) {
			capacityTokens += candidate.capacityTokens;
			peak += peakTokens(candidate.use.held);
		}

		return {candidates, capacityTokens, peakTokens: peak, misses: 0};
	};

	const hasRoom = (
		{capacityTokens, peakTokens: peak}: Service,
		{promptTokens, expectedTokens}: PlaceDemand,
		part: number,
	) => peak + promptTokens + expectedTokens <= part * capacityTokens;

	const copyFor = (
		service: Service,
		demand: PlaceDemand,
		target: EngineEntry,
	) =>
		demand.expectedTokens < minCopyTokens ||
		!hasRoom(
			service,
			{...demand, promptTokens: demand.promptTokens * 2},
			copyFleetMemoryPart,
		)
			? undefined
			: chooseCopyEngine(
					service.candidates,
					{...demand, purpose: 'copy'},
					target,
					copyFleetMemoryPart,
				);

	const place = (
		{vm, demand}: Waiting,
		service: Service,
		choice: EngineChoice,
		isLate: boolean,
	): PlaceAnswer => {
		const target = service.candidates.find(
			({targetId}) => targetId === choice.targetId,
		);
		const copyTargetId =
			target && demand.purpose === 'run'
				? copyFor(service, demand, target)
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

	const notAvoided = (service: Service, {avoid}: PlaceDemand) =>
		avoid.length === 0
			? service.candidates
			: service.candidates.filter(({targetId}) => !avoid.includes(targetId));

	/** Chooses an engine if one has room now. */
	const tryChoose = (
		demand: PlaceDemand,
		service: Service,
		isLate: boolean,
	): EngineChoice | undefined => {
		const candidates = notAvoided(service, demand);
		if (demand.purpose === 'copy') {
			return chooseEngine(candidates, demand, evacuationMemoryPart, random);
		}

		const fleetPart = isLate ? lateFleetMemoryPart : fleetMemoryPart;
		// A single engine has no others to fall back on; its own limit is enough.
		const isFull =
			service.misses >= maxMisses ||
			(service.candidates.length > 1 && !hasRoom(service, demand, fleetPart));
		if (isFull) {
			return undefined;
		}

		const choice = chooseEngine(candidates, demand, engineMemoryPart, random);
		service.misses += choice ? 0 : 1;
		return choice;
	};

	const refused = (reason: string, retryAfterMs: number): PlaceAnswer => ({
		outcome: 'refused',
		reason,
		retryAfterMs,
	});

	/** When memory for a demand is free by the forecast, as advice to its caller. */
	const retryAfter = (demand: PlaceDemand, service: Service): number => {
		let soonestMs = Infinity;
		for (const {use, capacityTokens, tokenMs} of service.candidates) {
			const tokens = tokensUntilFree(
				use.held,
				demand.promptTokens + demand.expectedTokens,
				engineMemoryPart * capacityTokens,
			);
			soonestMs = Math.min(soonestMs, tokens * tokenMs);
		}

		const mostMs = retryAfterPart * demand.leftMs;
		const spread = 1 + (random.nextUnit() - 0.5) * retrySpread;
		return Math.min(mostMs, Math.max(minRetryAfterMs, soonestMs * spread));
	};

	/** Why a demand can never be served, if it cannot. */
	const impossible = (demand: PlaceDemand, service: Service) => {
		if (notAvoided(service, demand).length === 0) {
			return 'no engine of the service is usable';
		}

		return service.candidates.every(
			({capacityTokens}) => demand.promptTokens > capacityTokens,
		)
			? 'the prompt is larger than the memory of an engine'
			: undefined;
	};

	/** Answers a demand, or lets it wait. */
	const decide = (waiting: Waiting, service: Service): PlaceAnswer => {
		const {demand} = waiting;
		const nowMs = clock.nowMs();
		const isLate = slackMs(waiting, nowMs) <= 0;
		const reason = impossible(demand, service);
		if (reason) {
			return refused(reason, retryAfter(demand, service));
		}

		const choice = tryChoose(demand, service, isLate);
		if (choice) {
			return place(waiting, service, choice, isLate);
		}

		if (demand.purpose === 'copy') {
			return refused('no engine has room for a copy', minRetryAfterMs);
		}

		const mayWait =
			waitedMs(waiting, nowMs) < latePart * (demand.leftMs + demand.waitedMs);
		return mayWait
			? {outcome: 'waiting', ahead: queue.size}
			: refused('no engine has memory in time', retryAfter(demand, service));
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

		const services = new Map<string, Service>();
		for (const {key, waiting} of byRank()) {
			const {demand, vm} = waiting;
			const service = services.get(demand.service) ?? serviceOf(demand.service);
			services.set(demand.service, service);
			const answer = decide(waiting, service);
			if (answer.outcome !== 'waiting') {
				queue.delete(key);
				options.onAnswer(vm, demand, answer);
			}

			if (answer.outcome === 'placed') {
				services.delete(demand.service);
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

			const isFirst = [...queue.values()].every(
				(other) =>
					other.demand.service !== demand.service ||
					queueRank(waiting, clock.nowMs()) <= queueRank(other, clock.nowMs()),
			);
			// Those ahead have just been tried; one that fits beside them need not wait for them.
			const answer =
				isFirst || demand.purpose === 'copy'
					? decide(waiting, serviceOf(demand.service))
					: {outcome: 'waiting' as const, ahead: queue.size};
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
