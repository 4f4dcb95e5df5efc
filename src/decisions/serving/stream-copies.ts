import type {TargetEntry} from '../../common/index.js';
import {
	copyRefreshIntervalMs,
	maintainCopy,
	type RunCopy,
} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamSessionOptions} from './stream-session-types.js';

/** Manages the copies of the KV cache of one stream's run. */
export type StreamCopies = {
	/** True if the run can continue from a copy. */
	hasUsableCopy(attempt: StreamAttempt): boolean;
	/** Starts to copy the run's KV cache if the run is at risk and has no reachable backup. */
	ensureCopy(attempt: StreamAttempt): void;
	/** Called when the run is lost; queues its copies for `nextCopy`, reachable engines first. */
	runLost(attempt: StreamAttempt): void;
	/** @returns the next copy from which to continue the lost run; undefined once all were tried */
	nextCopy(): RunCopy | undefined;
	/** Releases the copies of a finished run; they would occupy engine memory for some seconds. */
	releaseCopies(attempt: StreamAttempt): void;
};

/** Returns the copy at the backup of the placement, where the request id is the handle. */
function backupOf(
	target: TargetEntry | undefined,
	requestId: string,
): RunCopy | undefined {
	return (
		target && {target, kvCache: {address: target.address, handle: requestId}}
	);
}

/** Progress of a stream towards the caller. */
export type StreamProgress = {
	/** Number of events that the caller has received. */
	readonly eventCount: number;
	/** True once the caller has its final response. */
	readonly isDone: boolean;
};

/**
 * Creates the copy management of a stream whose run has no copies yet.
 * @param avoid - ids of engines at which the run has failed
 */
export function createStreamCopies(
	admitted: AdmittedRequest,
	options: StreamSessionOptions,
	avoid: ReadonlySet<string>,
	progress: StreamProgress,
): StreamCopies {
	const {targetClient, timers, log} = options;
	const requestId = admitted.request.id;
	let untried: RunCopy[] = [];

	const isReachable = (target: TargetEntry | undefined) =>
		target !== undefined && options.isReachable(target.id);

	return {
		hasUsableCopy: ({copies, placement}) =>
			copies.length > 0 || isReachable(placement.backup),
		ensureCopy(attempt) {
			if (attempt.isOver || attempt.hasStartedCopying || progress.isDone) {
				return;
			}

			const {target, backup} = attempt.placement;
			// While its engine is present, a run is copied only if it has lost its backup and departures may
			// not be reported in time. Otherwise the report that the engine is leaving comes early enough.
			const isPresent = options.isPresent(target.id);
			const canWait = isPresent && (!backup || options.areDeparturesReported());
			if (isReachable(backup) || canWait) {
				return;
			}

			attempt.hasStartedCopying = true;
			void maintainCopy(
				{
					requestId,
					source: target,
					refreshIntervalMs: isPresent
						? copyRefreshIntervalMs.running
						: copyRefreshIntervalMs.leaving,
					isOver: () => attempt.isOver || progress.isDone,
					chooseTarget: async (refused) =>
						options.placeCopy(
							{
								placementId: attempt.placement.id,
								admitted,
								target,
								backup,
								eventCount: progress.eventCount,
							},
							new Set([...avoid, ...refused]),
						),
					onCopy(copy) {
						const others = attempt.copies.filter(
							({target: holder}) => holder.id !== copy.target.id,
						);
						attempt.copies.splice(0, Infinity, copy, ...others);
						attempt.tracker.copied(copy.target);
					},
				},
				{targetClient, timers, log},
			);
		},
		runLost({copies, placement}) {
			const backup = backupOf(placement.backup, requestId);
			untried = [...copies, ...(backup ? [backup] : [])].sort(
				(a, b) => Number(isReachable(b.target)) - Number(isReachable(a.target)),
			);
		},
		nextCopy: () => untried.shift(),
		releaseCopies({copies, placement}) {
			for (const {kvCache} of copies) {
				targetClient.releaseCopy(placement.target.address, kvCache.handle);
			}
		},
	};
}
