import type {AdmittedRequest} from './session-types.js';
import type {StreamPlacement} from './stream-session-types.js';

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
	/** Time that the request has in all, in milliseconds. */
	readonly timeoutMs: number;
	readonly promptTokens: number;
	/** Memory of an engine, in tokens. */
	readonly capacityTokens: number;
};

/** Inputs for a generation that would go to the engine of a placement now. */
export function waitInputsOf(
	{request, route, arrivedMs, deadlineMs}: AdmittedRequest,
	placement: StreamPlacement,
	nowMs: number,
): WaitInputs {
	return {
		memoryPart: placement.memoryPart,
		firstTokenMs: placement.firstTokenMs,
		waitedMs: nowMs - arrivedMs,
		objectiveMs: route.objectiveMs,
		timeoutMs: deadlineMs - arrivedMs,
		promptTokens: request.generation?.promptTokens ?? 0,
		capacityTokens: placement.capacityTokens,
	};
}

/** Send it now, ask again shortly, or refuse it for good. */
export type WaitDecision = 'send' | 'wait' | 'refuse';

/** Part of an engine's memory beyond which a further generation would displace another. */
const fullMemoryPart = 1;
/** Part of the objective that waiting and the first token may use together. */
const objectivePart = 0.85;

/** Part of an engine's memory up to which a generation that is late already is sent. */
const spareMemoryPart = 0.85;
/** Part of its whole time that a late generation waits for spare memory; the rest is for the answer. */
const latePart = 0.3;

/** True once the first token can no longer be on time. */
export function isLate(inputs: WaitInputs): boolean {
	const dueMs = inputs.waitedMs + inputs.firstTokenMs;
	return dueMs >= objectivePart * inputs.objectiveMs;
}

/**
 * Decides whether a generation goes to an engine now. Answers the pattern "more generations than the
 * engines' memory holds": one more on a full engine preempts the newest, whose prompt is read again
 * and whose answer pauses. Those that can be on time get the memory first; a late answer is still of
 * use, so that it is made where memory is to spare, or in any case while there is time for it.
 */
export function decideWait(inputs: WaitInputs): WaitDecision {
	if (inputs.promptTokens > inputs.capacityTokens) {
		// The engines reject what is larger than their memory.
		return 'refuse';
	}

	if (!isLate(inputs)) {
		return inputs.memoryPart > fullMemoryPart ? 'wait' : 'send';
	}

	const mayWait = inputs.waitedMs < latePart * inputs.timeoutMs;
	return inputs.memoryPart > spareMemoryPart && mayWait ? 'wait' : 'send';
}
