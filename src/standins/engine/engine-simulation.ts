import type {CacheEvent, FinishReason} from '../../common/index.js';
import {createPrefixCache} from './prefix-cache.js';

/** Size and speed of a simulated engine. */
export type EngineSimulationOptions = {
	/** Size of the KV cache, in tokens. */
	readonly capacityTokens: number;
	/** Largest number of generations that are decoded concurrently. */
	readonly maxRunning: number;
	/** Fixed part of the duration of a decoding step, in milliseconds. */
	readonly stepBaseMs: number;
	/** Duration added to a step for each running generation, in milliseconds. */
	readonly stepPerRunningMs: number;
	/** Duration added to a step for each token that is prefilled in it, in milliseconds. */
	readonly prefillPerTokenMs: number;
	/** Largest number of tokens prefilled in one step; a longer prompt is prefilled in a step of its own. Default 8192. */
	readonly maxPrefillTokens?: number;
	/** Size of the prefix cache, in tokens. Default 0. */
	readonly cacheTokens?: number;
};

/** A generation that is submitted to the simulation. */
export type SimulatedGeneration = {
	readonly id: string;
	readonly promptTokens: number;
	/** Length of the output; only the simulation uses it, since a real engine's callers can't know it. */
	readonly outputTokens: number;
	/** Smaller is more important. */
	readonly priority: number;
	readonly finishReason: FinishReason;
	/** Number of leading tokens that need not be prefilled, since a copy of their KV cache is present. */
	readonly reusedTokens?: number;
	/** Hashes of the prompt's prefixes, shortest first. */
	readonly prefixHashes?: readonly string[];
};

/** State of a generation in the simulation, which engines call a sequence. */
export type SimulatedSequence<
	G extends SimulatedGeneration = SimulatedGeneration,
> = {
	readonly generation: G;
	readonly producedTokens: number;
};

/** Result of a step. The arrays are reused by the next step. */
export type StepResult<G extends SimulatedGeneration = SimulatedGeneration> = {
	/** Duration of the step, in milliseconds. */
	readonly durationMs: number;
	/** Generations that produced one token each, including those that finished. */
	readonly produced: ReadonlyArray<SimulatedSequence<G>>;
	readonly finished: ReadonlyArray<SimulatedSequence<G>>;
	readonly preempted: ReadonlyArray<SimulatedSequence<G>>;
};

type Sequence<G extends SimulatedGeneration> = {
	readonly generation: G;
	/** Order of submission; breaks ties between generations of the same priority. */
	readonly submitOrder: number;
	producedTokens: number;
	/** Index in the list of running generations, or -1 while the generation waits. */
	runningIndex: number;
};

/** Simulation of an engine with continuous batching, which preempts generations when its KV cache is full. */
export type EngineSimulation<
	G extends SimulatedGeneration = SimulatedGeneration,
> = {
	readonly runningCount: number;
	readonly waitingCount: number;
	readonly usedTokens: number;
	readonly preemptionsTotal: number;
	/** Running generations, for checks and measurements; a real engine doesn't report them. */
	readonly running: ReadonlyArray<SimulatedSequence<G>>;
	/** Waiting generations, the most important last. */
	readonly waiting: ReadonlyArray<SimulatedSequence<G>>;
	submit(generation: G): void;
	/** @returns false if no such generation runs or waits */
	cancel(id: string): boolean;
	/** Simulates one decoding step: preempts or admits generations, then produces a token of each running one. */
	step(): StepResult<G>;
	/** Number of leading prompt tokens that are in the prefix cache. */
	cachedTokens(prefixHashes: readonly string[]): number;
	/** Removes and returns the prefix-cache events since the last call. */
	takeCacheEvents(): readonly CacheEvent[];
};

const defaultMaxPrefillTokens = 8192;

// Admission leaves this fraction of the KV cache free, as real engines do; otherwise a generation could be
// admitted and preempted over and over.
const reservedFraction = 0.01;

export function createEngineSimulation<
	G extends SimulatedGeneration = SimulatedGeneration,
>(options: EngineSimulationOptions): EngineSimulation<G> {
	// Sorted by importance, the most important generation last.
	const waiting: Array<Sequence<G>> = [];
	const running: Array<Sequence<G>> = [];
	const byId = new Map<string, Sequence<G>>();
	const cache = createPrefixCache(options.cacheTokens ?? 0);
	const maxPrefillTokens = options.maxPrefillTokens ?? defaultMaxPrefillTokens;
	const admissionLimitTokens = options.capacityTokens * (1 - reservedFraction);
	const produced: Array<Sequence<G>> = [];
	const finished: Array<Sequence<G>> = [];
	const preempted: Array<Sequence<G>> = [];
	let usedTokens = 0;
	let preemptionsTotal = 0;
	let nextSubmitOrder = 0;

	const sizeTokens = (sequence: Sequence<G>) =>
		sequence.generation.promptTokens + sequence.producedTokens;

	const compareImportance = (a: Sequence<G>, b: Sequence<G>) =>
		a.generation.priority - b.generation.priority ||
		a.submitOrder - b.submitOrder;

	const waitingIndex = (sequence: Sequence<G>): number => {
		let low = 0;
		let high = waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (compareImportance(waiting[middle], sequence) > 0) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	const enqueue = (sequence: Sequence<G>) => {
		waiting.splice(waitingIndex(sequence), 0, sequence);
	};

	const addRunning = (sequence: Sequence<G>) => {
		sequence.runningIndex = running.length;
		running.push(sequence);
		usedTokens += sizeTokens(sequence);
	};

	const removeRunning = (sequence: Sequence<G>) => {
		const last = running.pop()!;
		if (last !== sequence) {
			running[sequence.runningIndex] = last;
			last.runningIndex = sequence.runningIndex;
		}

		sequence.runningIndex = -1;
		usedTokens -= sizeTokens(sequence);
	};

	const leastImportant = () => {
		let [least] = running;
		for (const sequence of running) {
			if (compareImportance(sequence, least) > 0) {
				least = sequence;
			}
		}

		return least;
	};

	const preempt = (victim: Sequence<G>) => {
		removeRunning(victim);
		preemptionsTotal++;
		preempted.push(victim);
		enqueue(victim);
	};

	const fits = (next: Sequence<G>) =>
		running.length === 0 ||
		usedTokens + sizeTokens(next) + running.length + 1 <= admissionLimitTokens;

	/** Preempts generations of lower priority until `next` fits; never one of the same priority. */
	const makeRoom = (next: Sequence<G>) => {
		while (running.length > 1 && !fits(next)) {
			const victim = leastImportant();
			if (victim.generation.priority <= next.generation.priority) {
				return;
			}

			preempt(victim);
		}
	};

	/**
	 * Admits waiting generations.
	 * @returns number of tokens to prefill for them
	 */
	const admit = () => {
		let prefillTokens = 0;
		while (waiting.length > 0 && running.length < options.maxRunning) {
			const next = waiting.at(-1)!;
			makeRoom(next);
			if (!fits(next)) {
				break;
			}

			const hashes = next.generation.prefixHashes ?? [];
			const tokensToPrefill = Math.max(
				1,
				sizeTokens(next) -
					Math.max(
						cache.cachedTokens(hashes),
						next.generation.reusedTokens ?? 0,
					),
			);
			if (
				prefillTokens > 0 &&
				prefillTokens + tokensToPrefill > maxPrefillTokens
			) {
				break;
			}

			waiting.pop();
			addRunning(next);
			cache.store(hashes);
			prefillTokens += tokensToPrefill;
		}

		return prefillTokens;
	};

	const preemptUntilStepFits = () => {
		while (
			running.length > 1 &&
			usedTokens + running.length > options.capacityTokens
		) {
			preempt(leastImportant());
		}
	};

	const decode = () => {
		for (const sequence of running) {
			sequence.producedTokens++;
			produced.push(sequence);
			if (sequence.producedTokens >= sequence.generation.outputTokens) {
				finished.push(sequence);
			}
		}

		usedTokens += running.length;
		for (const sequence of finished) {
			removeRunning(sequence);
			byId.delete(sequence.generation.id);
		}
	};

	return {
		running,
		waiting,
		get runningCount() {
			return running.length;
		},
		get waitingCount() {
			return waiting.length;
		},
		get usedTokens() {
			return usedTokens;
		},
		get preemptionsTotal() {
			return preemptionsTotal;
		},
		submit(generation) {
			const sequence: Sequence<G> = {
				generation,
				submitOrder: nextSubmitOrder++,
				producedTokens: 0,
				runningIndex: -1,
			};
			byId.set(generation.id, sequence);
			enqueue(sequence);
		},
		cancel(id) {
			const sequence = byId.get(id);
			if (!sequence) {
				return false;
			}

			byId.delete(id);
			if (sequence.runningIndex === -1) {
				waiting.splice(waitingIndex(sequence), 1);
			} else {
				removeRunning(sequence);
			}

			return true;
		},
		step() {
			produced.length = 0;
			finished.length = 0;
			preempted.length = 0;
			preemptUntilStepFits();
			const prefillTokens = preempted.length === 0 ? admit() : 0;
			const durationMs =
				options.stepBaseMs +
				options.stepPerRunningMs * running.length +
				options.prefillPerTokenMs * prefillTokens;
			decode();
			return {durationMs, produced, finished, preempted};
		},
		cachedTokens(prefixHashes) {
			return cache.cachedTokens(prefixHashes);
		},
		takeCacheEvents() {
			return cache.takeEvents();
		},
	};
}
