import type {TargetEntry} from '../../common/index.js';
import {
	copyRefreshIntervalMs,
	maintainCopy,
	type RunCopy,
} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamSessionOptions} from './stream-session-types.js';

/** Copies of the memory of one stream's run. */
export type StreamCopies = {
	/** True if the run can go on from a copy. */
	hasUsableCopy(attempt: StreamAttempt): boolean;
	/** Copies the run's memory elsewhere if no copy of it is safe. */
	ensureCopy(attempt: StreamAttempt): void;
	/** The run's engine is lost; its copies are tried one after the other. */
	runLost(attempt: StreamAttempt): void;
	/** Takes the next copy of a lost run; undefined once each was tried. */
	nextCopy(): RunCopy | undefined;
	/** Frees a copy that the run did not need; it would hold memory for some seconds. */
	releaseCopies(attempt: StreamAttempt): void;
};

function backupOf(
	target: TargetEntry | undefined,
	requestId: string,
): RunCopy | undefined {
	return (
		target && {target, kvCache: {address: target.address, handle: requestId}}
	);
}

/** How far the answer of a stream is. */
export type StreamProgress = {
	/** Events that the caller has. */
	readonly eventCount: number;
	/** True once the caller has its final answer. */
	readonly isDone: boolean;
};

/**
 * Creates the copies of a run that has none.
 * @param avoid - engines that have failed the run
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

	const isUsable = (target: TargetEntry | undefined) =>
		target !== undefined && options.isReachable(target.id);

	return {
		hasUsableCopy: ({copies, placement}) =>
			copies.length > 0 || isUsable(placement.backup),
		ensureCopy(attempt) {
			if (attempt.isOver || attempt.hasStartedCopying || progress.isDone) {
				return;
			}

			const {target, backup} = attempt.placement;
			// A run at a sound engine can wait for notice of its leaving, if any would be heard.
			const isPresent = options.isPresent(target.id);
			const hasTime = isPresent && (!backup || options.areDeparturesReported());
			if (isUsable(backup) || hasTime) {
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
							({target: keeper}) => keeper.id !== copy.target.id,
						);
						attempt.copies.splice(0, Infinity, copy, ...others);
						attempt.tracker.copied(copy.target);
					},
				},
				{targetClient: targetClient, timers, log},
			);
		},
		runLost({copies, placement}) {
			const backup = backupOf(placement.backup, requestId);
			untried = [...copies, ...(backup ? [backup] : [])].sort(
				(a, b) => Number(isUsable(b.target)) - Number(isUsable(a.target)),
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
