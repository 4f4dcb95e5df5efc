import type {TargetEntry} from '../../common/index.js';
import {
	copyRefreshIntervalMs,
	maintainCopy,
	type RunCopy,
} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {
	CopyCertainty,
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** Manages the copies of the KV cache of one stream's run. */
export type StreamCopies = {
	/**
	 * True if a copy of the run's KV cache is known to exist, or may exist as a backup at an engine that can be
	 * reached. That suffices only to leave a run that can't go on where it is. A copy in an evacuated availability
	 * zone does not count.
	 */
	mayHaveCopy(attempt: StreamAttempt): boolean;
	/** @returns an engine that may receive a copy of the run's KV cache; undefined if none has room */
	chooseHolder(attempt: StreamAttempt): Promise<TargetEntry | undefined>;
	/** Starts to copy the run's KV cache if the run is at risk and has no reachable backup. */
	ensureCopy(attempt: StreamAttempt): void;
	/** Looks for room again for a run in an evacuated availability zone; called at regular intervals. */
	tick(attempt: StreamAttempt): void;
	/**
	 * Called when the run is lost; queues its copies for `nextCopy`: those at reachable engines first, and among
	 * them those that are known to exist. A backup is queued only if it may exist: an engine without it may run
	 * the request anew before it fails.
	 * @returns the best certainty of the queued copies
	 */
	runLost(attempt: StreamAttempt): CopyCertainty | 'none';
	/** @returns the next copy from which to continue the lost run; undefined once all were tried */
	nextCopy(): RunCopy | undefined;
	/** Releases the copies of a finished run; they would occupy engine memory for some seconds. */
	releaseCopies(attempt: StreamAttempt): void;
};

/** Returns the copy that may exist at the backup of the placement, where the request id is the handle. */
function backupOf(
	target: TargetEntry | undefined,
	requestId: string,
): RunCopy | undefined {
	return (
		target && {
			target,
			kvCache: {address: target.address, handle: requestId},
			certainty: 'possible',
		}
	);
}

/** Time after which room for a copy is looked for again while a zone is evacuated, in milliseconds. */
const noRoomRetryMs = 2500;

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
	const {clock, targetClient, timers, log} = options;
	const requestId = admitted.request.id;
	let untried: RunCopy[] = [];
	/** Monotonic time at which room is looked for again, in milliseconds; undefined if it is not. */
	let retryAtMs: number | undefined;

	const isReachable = (target: TargetEntry | undefined) =>
		target !== undefined && options.isReachable(target.id);

	/** True if the run goes on where it is, but its availability zone or that of its backup is evacuated. */
	const isEvacuated = ({target, backup}: StreamPlacement) =>
		options.isPresent(target.id) &&
		(options.isEvacuated(target) ||
			(backup !== undefined && options.isEvacuated(backup)));

	/** True if the run has made progress for as long as engines take to start a backup; nothing says whether they have. */
	const mayHaveBackup = ({progressMs}: StreamAttempt) =>
		progressMs !== undefined && progressMs >= targetClient.backupDelayMs;

	const chooseOther = async (
		{placement: {id, target, backup}}: StreamAttempt,
		refused: Iterable<string>,
	) =>
		options.placeCopy(
			{
				placementId: id,
				admitted,
				target,
				backup,
				eventCount: progress.eventCount,
			},
			new Set([...avoid, ...refused]),
		);

	const startCopying = async (attempt: StreamAttempt) => {
		const {target} = attempt.placement;
		const end = await maintainCopy(
			{
				requestId,
				source: target,
				refreshIntervalMs: options.isPresent(target.id)
					? copyRefreshIntervalMs.running
					: copyRefreshIntervalMs.leaving,
				isOver: () => attempt.isOver || progress.isDone,
				chooseTarget: async (refused) => chooseOther(attempt, refused),
				mayHold: (holder) => !options.isEvacuated(holder),
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
		if (end === 'no room' && isEvacuated(attempt.placement)) {
			attempt.hasStartedCopying = false;
			retryAtMs = clock.nowMs() + noRoomRetryMs;
		}
	};

	const ensureCopy = (attempt: StreamAttempt) => {
		if (attempt.isOver || attempt.hasStartedCopying || progress.isDone) {
			return;
		}

		const {target, backup} = attempt.placement;
		// While its engine is present, a run is copied only if it is evacuated, or has lost its backup and
		// departures may not be reported in time. Otherwise the report that the engine is leaving comes early
		// enough.
		const canWait =
			options.isPresent(target.id) &&
			!isEvacuated(attempt.placement) &&
			(!backup || options.areDeparturesReported());
		if (!isReachable(backup) && !canWait) {
			attempt.hasStartedCopying = true;
			void startCopying(attempt);
		}
	};

	return {
		mayHaveCopy: (attempt) =>
			attempt.copies.some(({target}) => !options.isEvacuated(target)) ||
			(mayHaveBackup(attempt) && isReachable(attempt.placement.backup)),
		async chooseHolder(attempt) {
			const {copies, placement} = attempt;
			const holders = [...copies.map(({target}) => target), placement.backup];
			const holder = holders.find(
				(target) =>
					target?.id !== placement.target.id &&
					isReachable(target) &&
					!options.isEvacuated(target!),
			);
			return holder ?? chooseOther(attempt, [placement.target.id]);
		},
		ensureCopy,
		tick(attempt) {
			if (retryAtMs !== undefined && clock.nowMs() >= retryAtMs) {
				retryAtMs = undefined;
				ensureCopy(attempt);
			}
		},
		runLost(attempt) {
			const {copies, placement} = attempt;
			const backup = mayHaveBackup(attempt)
				? backupOf(placement.backup, requestId)
				: undefined;
			const byCertainty = [...copies, ...(backup ? [backup] : [])];
			untried = [...byCertainty].sort(
				(a, b) => Number(isReachable(b.target)) - Number(isReachable(a.target)),
			);
			return byCertainty[0]?.certainty ?? 'none';
		},
		nextCopy: () => untried.shift(),
		releaseCopies({copies, placement}) {
			for (const {kvCache} of copies) {
				targetClient.releaseCopy(placement.target.address, kvCache.handle);
			}
		},
	};
}
