import {
	type CallerRequest,
	type Clock,
	incarnationOf,
	promptPartIds,
	type TargetEntry,
	type TargetLiveness,
} from '../../common/index.js';
import type {CrashEvidence} from './crash-evidence.js';
import type {SentPart} from './types.js';

/** A run whose connection ended before its response was whole. */
export type BrokenRun = {
	readonly request: CallerRequest;
	readonly target: TargetEntry;
	/** Monotonic time at which the request was sent to the engine, in milliseconds. */
	readonly sentMs: number;
	/** Events that the engine had sent for it. */
	readonly attemptEventCount: number;
};

export type CrashObserverOptions = {
	readonly clock: Clock;
	readonly evidence: CrashEvidence;
	/** Finds out whether an engine has ended. */
	readonly checkLiveness: (target: TargetEntry) => Promise<TargetLiveness>;
	/** Called when an engine has been found to have ended. */
	readonly onEnded: (
		target: TargetEntry,
		requestIds: readonly string[],
	) => void;
};

/**
 * Finds out whether an engine has ended when a run breaks there. Connections break
 * for other reasons too, such as a fault of the network or of this VM.
 */
export type CrashObserver = {
	runBroken(run: BrokenRun): void;
	/** Called when an engine refuses connections, or has left without notice. */
	engineGone(targetId: string): void;
};

/** Time for which broken runs wait for the engine's end to be confirmed, in milliseconds. */
const confirmationMs = 5000;

type PendingCrash = {
	readonly target: TargetEntry;
	/** Monotonic time at which the first of the runs broke, in milliseconds. */
	readonly brokenMs: number;
	readonly runs: BrokenRun[];
};

const sentPartsOf = (runs: readonly BrokenRun[]): SentPart[] =>
	runs
		.flatMap(({request, sentMs, attemptEventCount}) =>
			promptPartIds(request).map((partId) => ({
				partId,
				sentMs,
				eventCount: attemptEventCount,
			})),
		)
		.sort((first, second) => second.sentMs - first.sentMs);

export function createCrashObserver({
	clock,
	evidence,
	checkLiveness,
	onEnded,
}: CrashObserverOptions): CrashObserver {
	const pending = new Map<string, PendingCrash>();
	/** Engines that have ended, with the monotonic time of their end in milliseconds. */
	const ended = new Map<string, number>();

	const removeOld = () => {
		const nowMs = clock.nowMs();
		for (const [targetId, {brokenMs}] of pending) {
			if (nowMs - brokenMs > confirmationMs) {
				pending.delete(targetId);
			}
		}

		for (const [incarnation, endedMs] of ended) {
			if (nowMs - endedMs > confirmationMs) {
				ended.delete(incarnation);
			}
		}
	};

	const confirm = (targetId: string) => {
		const crash = pending.get(targetId);
		if (!crash) {
			return;
		}

		pending.delete(targetId);
		const {target, brokenMs, runs} = crash;
		const incarnation = incarnationOf(target);
		const endedMs = ended.get(incarnation) ?? brokenMs;
		ended.set(incarnation, endedMs);
		onEnded(
			target,
			runs.map(({request}) => request.id),
		);
		evidence.recordCrash(incarnation, sentPartsOf(runs), endedMs);
	};

	const check = async (target: TargetEntry) => {
		const liveness = await checkLiveness(target);
		if (liveness === 'ended') {
			confirm(target.id);
		} else if (liveness === 'alive') {
			pending.delete(target.id);
		}
	};

	return {
		runBroken(run) {
			removeOld();
			const {target} = run;
			const known = pending.get(target.id);
			if (known) {
				known.runs.push(run);
				return;
			}

			pending.set(target.id, {target, brokenMs: clock.nowMs(), runs: [run]});
			if (ended.has(incarnationOf(target))) {
				confirm(target.id);
			} else {
				void check(target);
			}
		},
		engineGone(targetId) {
			removeOld();
			confirm(targetId);
		},
	};
}
