/** What is known when a generation asks for its engine. */
export type WaitInputs = {
	/** Part of the best engine's memory that is expected to be in use at the peak. */
	readonly memoryPart: number;
	/** Expected time until the first token there, in milliseconds. */
	readonly firstTokenMs: number;
	/** Time since the request arrived, in milliseconds. */
	readonly waitedMs: number;
	/** Time in which the first token is due, in milliseconds. */
	readonly objectiveMs: number;
	/** Prompt and expected output, in tokens. */
	readonly neededTokens: number;
	/** Memory of an engine, in tokens. */
	readonly capacityTokens: number;
};

/** Send it now, ask again shortly, or refuse it for good. */
export type WaitDecision = 'send' | 'wait' | 'refuse';

/** Part of an engine's memory beyond which a further generation would displace another. */
const fullMemoryPart = 1;
/** Part of the objective that waiting and the first token may use together. */
const objectivePart = 0.85;

/**
 * Decides whether a generation goes to an engine now. Answers the pattern "more generations than the
 * engines' memory holds": one more on a full engine preempts the newest, whose prompt is read again
 * and whose answer pauses. The wait ends early enough for the first token to be on time; a late
 * answer is still of use, so that it is then sent and not refused.
 */
export function decideWait(inputs: WaitInputs): WaitDecision {
	if (inputs.neededTokens > inputs.capacityTokens) {
		// The engines reject what is larger than their memory.
		return 'refuse';
	}

	const dueMs = inputs.waitedMs + inputs.firstTokenMs;
	const hasTime = dueMs < objectivePart * inputs.objectiveMs;
	return inputs.memoryPart > fullMemoryPart && hasTime ? 'wait' : 'send';
}
