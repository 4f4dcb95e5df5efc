/** A run in the replay. */
export type ReplayRun = {
	targetId: string;
	copyTargetId: string | undefined;
	readonly promptTokens: number;
	readonly priority: number;
	/** Length of the response, in tokens. */
	readonly totalTokens: number;
	/** Tokens still to be prefilled. */
	unfilledTokens: number;
	doneTokens: number;
};

const prefillTokensPerMs = 14;
const stepMs = 7;
const stepPerRunMs = 0.12;

const heldTokens = ({promptTokens, doneTokens}: ReplayRun) =>
	promptTokens + doneTokens;

/**
 * Lets the runs of an engine proceed. Prompts share the prefill; the least urgent, newest run is preempted and
 * has to be prefilled again when the memory is exceeded.
 * @param runs - runs of the engine, in the order of their start
 * @param copiesTokens - memory held for runs elsewhere
 */
export function advanceReplayEngine(
	runs: readonly ReplayRun[],
	copiesTokens: number,
	capacityTokens: number,
	forMs: number,
): void {
	let freeTokens = capacityTokens - copiesTokens;
	const active = [...runs]
		.sort((a, b) => a.priority - b.priority)
		.filter((run) => {
			freeTokens -= heldTokens(run);
			if (freeTokens < 0) {
				run.unfilledTokens = heldTokens(run);
			}

			return freeTokens >= 0;
		});
	const prompts = active.filter(({unfilledTokens}) => unfilledTokens > 0);
	const perPrompt = (forMs * prefillTokensPerMs) / prompts.length;
	const tokens = forMs / (stepMs + stepPerRunMs * active.length);
	for (const run of active) {
		if (run.unfilledTokens > 0) {
			run.unfilledTokens -= perPrompt;
		} else {
			run.doneTokens += tokens;
		}
	}
}
