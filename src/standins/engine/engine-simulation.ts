import type {CacheEvent, FinishReason} from '../../common/index.js';
import {createPrefixCache} from './prefix-cache.js';

/** Size and speed of a modelled engine. */
export type EngineSimulationOptions = {
	/** Memory for keys and values, counted in tokens. */
	readonly capacityTokens: number;
	/** Largest number of generations that decode together. */
	readonly maxRunning: number;
	/** Duration of one decoding step of an otherwise idle engine, in milliseconds. */
	readonly stepBaseMs: number;
	/** Added to a step for each running generation, in milliseconds. */
	readonly stepPerRunningMs: number;
	/** Cost of computing one prompt token, in milliseconds. */
	readonly prefillPerTokenMs: number;
	/** Prompt tokens computed in one step; a longer prompt goes alone. Default 8192. */
	readonly maxPrefillTokens?: number;
	/** Memory for cached prompt prefixes, counted in tokens. Default 0. */
	readonly cacheTokens?: number;
};

/** A generation that is submitted to the model. */
export type SimulatedGeneration = {
	readonly id: string;
	readonly promptTokens: number;
	/** True length of the answer, unknown to everybody else. */
	readonly outputTokens: number;
	/** Smaller is more important. */
	readonly priority: number;
	readonly finishReason: FinishReason;
	/** Tokens whose memory is here already, from a copy of the run. */
	readonly reusedTokens?: number;
	/** Hashes of the prompt's prefixes, shortest first. */
	readonly prefixHashes?: readonly string[];
};

/** A generation inside the model. */
export type SimulatedSequence<
	G extends SimulatedGeneration = SimulatedGeneration,
> = {
	readonly generation: G;
	readonly producedTokens: number;
};

/** What one step produced. The arrays are reused by the next step. */
export type StepResult<G extends SimulatedGeneration = SimulatedGeneration> = {
	/** Duration of the step, in milliseconds. */
	readonly durationMs: number;
	/** Generations that produced one token each, those that finished included. */
	readonly produced: ReadonlyArray<SimulatedSequence<G>>;
	readonly finished: ReadonlyArray<SimulatedSequence<G>>;
	readonly preempted: ReadonlyArray<SimulatedSequence<G>>;
};

type Sequence<G extends SimulatedGeneration> = {
	readonly generation: G;
	readonly order: number;
	producedTokens: number;
	/** Index among the running ones, or -1 while it waits. */
	runningIndex: number;
};

/** An engine that batches continuously and preempts when its memory is full. */
export type EngineSimulation<
	G extends SimulatedGeneration = SimulatedGeneration,
> = {
	readonly runningCount: number;
	readonly waitingCount: number;
	readonly usedTokens: number;
	readonly preemptionsTotal: number;
	/** Running generations, for observers that know everything. */
	readonly running: ReadonlyArray<SimulatedSequence<G>>;
	readonly waiting: ReadonlyArray<SimulatedSequence<G>>;
	submit(generation: G): void;
	cancel(id: string): boolean;
	/** Runs one decoding step. */
	step(): StepResult<G>;
	/** Leading prompt tokens that are in the prefix cache. */
	cachedTokens(prefixHashes: readonly string[]): number;
	/** Removes and returns the prefix-cache events since the last call. */
	takeCacheEvents(): readonly CacheEvent[];
};

const defaultMaxPrefillTokens = 8192;

// Admission leaves this part of the memory free, as engines do, so that a generation is not admitted
// and preempted in turns.
const freePart = 0.01;

/** Creates an idle engine model. */
export function createEngineSimulation<
	G extends SimulatedGeneration = SimulatedGeneration,
>(options: EngineSimulationOptions): EngineSimulation<G> {
	// Sorted, the most important generation last.
	const waiting: Array<Sequence<G>> = [];
	const running: Array<Sequence<G>> = [];
	const byId = new Map<string, Sequence<G>>();
	const cache = createPrefixCache(options.cacheTokens ?? 0);
	const maxPrefillTokens = options.maxPrefillTokens ?? defaultMaxPrefillTokens;
	const admissionLimit = options.capacityTokens * (1 - freePart);
	const produced: Array<Sequence<G>> = [];
	const finished: Array<Sequence<G>> = [];
	const preempted: Array<Sequence<G>> = [];
	let usedTokens = 0;
	let preemptionsTotal = 0;
	let nextOrder = 0;

	const sizeTokens = (sequence: Sequence<G>) =>
		sequence.generation.promptTokens + sequence.producedTokens;

	const byImportance = (a: Sequence<G>, b: Sequence<G>) =>
		a.generation.priority - b.generation.priority || a.order - b.order;

	const waitingIndex = (sequence: Sequence<G>): number => {
		let low = 0;
		let high = waiting.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (byImportance(waiting[middle], sequence) > 0) {
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
		let [worst] = running;
		for (const sequence of running) {
			if (byImportance(sequence, worst) > 0) {
				worst = sequence;
			}
		}

		return worst;
	};

	const preempt = (victim: Sequence<G>) => {
		removeRunning(victim);
		preemptionsTotal++;
		preempted.push(victim);
		enqueue(victim);
	};

	const fits = (next: Sequence<G>) =>
		running.length === 0 ||
		usedTokens + sizeTokens(next) + running.length + 1 <= admissionLimit;

	/** Makes room for a generation by preempting less important ones; never for an equal one. */
	const makeRoom = (next: Sequence<G>) => {
		while (running.length > 1 && !fits(next)) {
			const victim = leastImportant();
			if (victim.generation.priority <= next.generation.priority) {
				return;
			}

			preempt(victim);
		}
	};

	/** Admits waiting generations and returns the tokens to compute for them. */
	const admit = () => {
		let prefillTokens = 0;
		while (waiting.length > 0 && running.length < options.maxRunning) {
			const next = waiting.at(-1)!;
			makeRoom(next);
			if (!fits(next)) {
				break;
			}

			const hashes = next.generation.prefixHashes ?? [];
			const computed = Math.max(
				1,
				sizeTokens(next) -
					Math.max(
						cache.cachedTokens(hashes),
						next.generation.reusedTokens ?? 0,
					),
			);
			if (prefillTokens > 0 && prefillTokens + computed > maxPrefillTokens) {
				break;
			}

			waiting.pop();
			addRunning(next);
			cache.store(hashes);
			prefillTokens += computed;
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
				order: nextOrder++,
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
