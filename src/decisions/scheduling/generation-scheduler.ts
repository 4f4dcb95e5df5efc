import type {Clock, RandomSource} from '../../common/index.js';
import {
	chooseCopyEngine,
	chooseEngine,
	type EngineCandidate,
	type EngineChoice,
} from './engine-placement.js';
import {
	neededTokens,
	queueRank,
	slackMs,
	type Waiting,
	waitedMs,
	waitLimitMs,
} from './generation-queue.js';
import {freedTokens, peakTokens} from './memory-forecast.js';
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

/** Part of an engine's memory that may be in use at the forecast peak, which many runs end before. */
const engineMemoryPart = 1.02;
/** The same with short generations, which free it soon. */
const shortEngineMemoryPart = 1;
/** The same for runs whose engine leaves: a possible preemption is no worse than their loss. */
const evacuationMemoryPart = 1.2;
/** Part of the memory of all engines up to which generations are begun; engines leave at any time. */
const fleetMemoryPart = 0.93;
/** The same for short generations, so that they need not wait for long ones to end. */
const shortFleetMemoryPart = 0.97;
/** The same for generations that are late already. */
const lateFleetMemoryPart = 0.65;
/** Part of the memory of all engines up to which runs get a copy from the start. */
const copyFleetMemoryPart = 0.78;
/** Shorter generations end before a copy of their memory would be of use. */
const shortTokens = 100;
/** Part of the objective in which a first token must be expected to count as timely. */
const timelyPart = 0.95;
/** After this many long generations without room the others of the moment are not tried. */
const maxMisses = 4;
const minRetryAfterMs = 300;
/** Time in which a shortage of memory may pass, in milliseconds; callers come back spread over it. */
const shortageMs = {least: 1500, most: 8000} as const;
/** Time for which a placement is repeated to a VM that asks again, in milliseconds. */
const rememberMs = 1500;
/** Part of the caller's time up to which it follows an advice. */
const retryAfterPart = 0.33;

type Service = {
	readonly candidates: readonly EngineCandidate[];
	readonly capacityTokens: number;
	/** Sum of the forecast peaks. */
	readonly peakTokens: number;
	/** The same until a short generation has ended. */
	readonly soonTokens: number;
	/** Long generations for which no engine had room since this was worked out. */
	misses: number;
};

type Chosen = {
	readonly choice: EngineChoice;
	/** True if the first token is not expected in time. */
	readonly isLate: boolean;
};

const isShort = ({expectedTokens}: PlaceDemand) => expectedTokens < shortTokens;

const fleetPartOf = (demand: PlaceDemand) =>
	isShort(demand) ? shortFleetMemoryPart : fleetMemoryPart;

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
		let soonTokens = 0;
		for (const candidate of candidates) {
			const {held} = candidate.use;
			capacityTokens += candidate.capacityTokens;
			peak += peakTokens(held);
			soonTokens += peakTokens(held, shortTokens);
		}

		return {
			candidates,
			capacityTokens,
			peakTokens: peak,
			soonTokens,
			misses: 0,
		};
	};

	/** Memory that is free for a demand by the forecast, if all engines may be filled to a part. */
	const freeFor = (demand: PlaceDemand, service: Service, part: number) =>
		part * service.capacityTokens -
		(isShort(demand) ? service.soonTokens : service.peakTokens);

	const copyFor = (
		service: Service,
		demand: PlaceDemand,
		target: EngineEntry,
	) =>
		isShort(demand) ||
		freeFor(demand, service, copyFleetMemoryPart) < 2 * neededTokens(demand)
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
		{choice, isLate}: Chosen,
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

	/** Chooses the engine that keeps a copy of a run whose engine leaves. */
	const chooseKeeper = (demand: PlaceDemand, service: Service) =>
		chooseEngine(
			notAvoided(service, demand),
			demand,
			evacuationMemoryPart,
			random,
		);

	/** Chooses an engine for a run if one has room now; late ones only have what is to spare. */
	const chooseNow = (
		waiting: Waiting,
		service: Service,
	): Chosen | undefined => {
		const {demand} = waiting;
		// A single engine has no others to fall back on; its own limit is enough.
		const fits = (part: number) =>
			service.candidates.length === 1 ||
			freeFor(demand, service, part) >= neededTokens(demand);
		const enginePart = isShort(demand)
			? shortEngineMemoryPart
			: engineMemoryPart;
		const isTried = isShort(demand) || service.misses < maxMisses;
		if (!isTried || !fits(fleetPartOf(demand))) {
			return undefined;
		}

		const choice = chooseEngine(
			notAvoided(service, demand),
			demand,
			enginePart,
			random,
		);
		if (!choice) {
			service.misses += isShort(demand) ? 0 : 1;
			return undefined;
		}

		const nowMs = clock.nowMs();
		const dueMs =
			demand.elapsedMs + waitedMs(waiting, nowMs) + choice.firstTokenMs;
		const isLate =
			slackMs(waiting, nowMs) <= 0 || dueMs > timelyPart * demand.objectiveMs;
		return isLate && !fits(lateFleetMemoryPart) ? undefined : {choice, isLate};
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

	/** Time that a demand may go on to wait, in milliseconds. */
	const leftForWaitMs = (waiting: Waiting, service: Service): number => {
		const tokenMs = Math.min(
			...service.candidates.map((candidate) => candidate.tokenMs),
		);
		return (
			waitLimitMs(waiting.demand, tokenMs) - waitedMs(waiting, clock.nowMs())
		);
	};

	/** True if a demand finds memory by the forecast, behind those that go ahead of it. */
	const isHopeful = (waiting: Waiting, service: Service): boolean => {
		const nowMs = clock.nowMs();
		const rank = queueRank(waiting, nowMs);
		const withinMs = leftForWaitMs(waiting, service);
		if (withinMs <= 0) {
			return false;
		}

		let needed = neededTokens(waiting.demand);
		for (const other of queue.values()) {
			if (
				other.demand.service === waiting.demand.service &&
				other.demand.id !== waiting.demand.id &&
				queueRank(other, nowMs) < rank
			) {
				needed += neededTokens(other.demand);
			}
		}

		let free = freeFor(waiting.demand, service, fleetPartOf(waiting.demand));
		for (const {use, tokenMs} of service.candidates) {
			free += freedTokens(use.held, withinMs / tokenMs);
		}

		return needed <= free;
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
	const decide = (
		waiting: Waiting,
		service: Service,
		isNew: boolean,
	): PlaceAnswer => {
		const {demand} = waiting;
		const reason = impossible(demand, service);
		if (reason) {
			return refused(reason, minRetryAfterMs);
		}

		if (demand.purpose === 'copy') {
			const choice = chooseKeeper(demand, service);
			return choice
				? place(waiting, service, {choice, isLate: false})
				: refused('no engine has room for a copy', minRetryAfterMs);
		}

		const chosen = chooseNow(waiting, service);
		if (chosen) {
			return place(waiting, service, chosen);
		}

		const mayWait = isNew
			? isHopeful(waiting, service)
			: leftForWaitMs(waiting, service) > 0;
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
		const service = serviceOf(demand.service);
		if (demand.purpose === 'copy' || isNext(waiting)) {
			return decide(waiting, service, isNew);
		}

		return !isNew || isHopeful(waiting, service)
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

		const services = new Map<string, Service>();
		for (const {key, waiting} of byRank()) {
			const {demand, vm} = waiting;
			const service = services.get(demand.service) ?? serviceOf(demand.service);
			services.set(demand.service, service);
			const answer = decide(waiting, service, false);
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
