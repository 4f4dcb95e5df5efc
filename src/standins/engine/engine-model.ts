import type {FinishReason} from '../../common/index.js';

/** Size and speed of a modelled engine. */
export type EngineModelOptions = {
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
};

/** A generation that is submitted to the model. */
export type ModelGeneration = {
	readonly id: string;
	readonly promptTokens: number;
	/** True length of the answer, unknown to everybody else. */
	readonly outputTokens: number;
	/** Smaller is more important. */
	readonly priority: number;
	readonly finishReason: FinishReason;
};

/** What one step produced. */
export type StepResult = {
	/** Duration of the step, in milliseconds. */
	readonly durationMs: number;
	/** Generations that produced one token each. */
	readonly produced: readonly string[];
	readonly finished: readonly string[];
	readonly preempted: readonly string[];
};

type Sequence = {
	readonly generation: ModelGeneration;
	producedTokens: number;
	order: number;
};

/** An engine that batches continuously and preempts when its memory is full. */
export type EngineModel = {
	readonly runningCount: number;
	readonly waitingCount: number;
	readonly usedTokens: number;
	readonly preemptionsTotal: number;
	submit(generation: ModelGeneration): void;
	cancel(id: string): boolean;
	/** Runs one decoding step. */
	step(): StepResult;
};

/** Creates an idle engine model. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
	const waiting: Sequence[] = [];
	const running: Sequence[] = [];
	let usedTokens = 0;
	let preemptionsTotal = 0;
	let nextOrder = 0;

	const sizeTokens = (sequence: Sequence) =>
		sequence.generation.promptTokens + sequence.producedTokens;

	const byImportance = (a: Sequence, b: Sequence) =>
		a.generation.priority - b.generation.priority || a.order - b.order;

	const admit = () => {
		let prefillTokens = 0;
		waiting.sort(byImportance);
		while (waiting.length > 0 && running.length < options.maxRunning) {
			const [next] = waiting;
			const needed = sizeTokens(next) + 1;
			if (running.length > 0 && usedTokens + needed > options.capacityTokens) {
				break;
			}

			waiting.shift();
			running.push(next);
			usedTokens += sizeTokens(next);
			prefillTokens += sizeTokens(next);
		}

		return prefillTokens;
	};

	const remove = (list: Sequence[], id: string): Sequence | undefined => {
		const index = list.findIndex((sequence) => sequence.generation.id === id);
		return index === -1 ? undefined : list.splice(index, 1)[0];
	};

	const preemptUntilStepFits = (): string[] => {
		const preempted: string[] = [];
		while (
			running.length > 1 &&
			usedTokens + running.length > options.capacityTokens
		) {
			running.sort(byImportance);
			const victim = running.pop()!;
			usedTokens -= sizeTokens(victim);
			preemptionsTotal++;
			preempted.push(victim.generation.id);
			waiting.push(victim);
		}

		return preempted;
	};

	return {
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
			waiting.push({generation, producedTokens: 0, order: nextOrder++});
		},
		cancel(id) {
			if (remove(waiting, id)) {
				return true;
			}

			const sequence = remove(running, id);
			if (sequence) {
				usedTokens -= sizeTokens(sequence);
			}

			return sequence !== undefined;
		},
		step() {
			const prefillTokens = admit();
			const preempted = preemptUntilStepFits();
			const produced: string[] = [];
			const finished: string[] = [];
			const durationMs =
				options.stepBaseMs +
				options.stepPerRunningMs * running.length +
				options.prefillPerTokenMs * prefillTokens;
			for (const sequence of running) {
				sequence.producedTokens++;
				usedTokens++;
				produced.push(sequence.generation.id);
				if (sequence.producedTokens >= sequence.generation.outputTokens) {
					finished.push(sequence.generation.id);
					remove(running, sequence.generation.id);
					usedTokens -= sizeTokens(sequence);
				}
			}

			return {durationMs, produced, finished, preempted};
		},
	};
}
