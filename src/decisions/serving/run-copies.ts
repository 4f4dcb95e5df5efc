import type {
	KvCacheCopy,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {DecisionLog} from './session-types.js';
import type {CopyCertainty, StreamPlacement} from './stream-session-types.js';

/** A copy of a run's KV cache. */
export type RunCopy = {
	/** Engine that holds the copy. */
	readonly target: TargetEntry;
	readonly kvCache: KvCacheCopy;
	readonly certainty: CopyCertainty;
};

/** Returns the placement for continuing a run at the engine that holds its copy; it has no forecast. */
export function continuationPlacement(
	target: TargetEntry,
	id: string,
): StreamPlacement {
	return {
		id,
		target,
		backup: undefined,
		firstTokenMs: 0,
		memoryFraction: 0,
		isLate: false,
		decidedBy: '',
	};
}

/** A run whose KV cache is copied to another engine. */
export type RunToCopy = {
	readonly requestId: string;
	/** Engine that executes the run. */
	readonly source: TargetEntry;
	/** Interval at which the copy is updated, in milliseconds. */
	readonly refreshIntervalMs: number;
	/** True once the run has ended or continues at another engine. */
	readonly isOver: () => boolean;
	/**
	 * Chooses an engine to hold the copy.
	 * @param refused - ids of targets that are not chosen
	 */
	readonly chooseTarget: (
		refused: ReadonlySet<string>,
	) => Promise<TargetEntry | undefined>;
	/** False while nothing may be sent to the engine. */
	readonly mayHold: (target: TargetEntry) => boolean;
	/** Called when a copy has been made or updated. */
	readonly onCopy: (copy: RunCopy) => void;
};

/** Why copying a run has ended. */
export type CopyingEnd = 'attempts used up' | 'no room' | 'run over';

/** Dependencies of `maintainCopy`. */
export type RunCopiesOptions = {
	readonly targetClient: TargetClient;
	readonly timers: Timers;
	readonly log: DecisionLog;
};

const copyTimeoutMs = 2500;
/**
 * Largest number of attempts to copy one run, updates and retries included. It limits the copies of a
 * run whose engine reports that it is leaving but stays.
 */
const maxCopyAttempts = 16;
/** Delay before a copy is retried that the engine could not start yet or makes already, in milliseconds. */
const copyRetryMs = 150;
/** Intervals at which copies are updated, in milliseconds. */
export const copyRefreshIntervalMs = {
	/** The engine of the run is leaving. */
	leaving: 500,
	/** The run continues, but its backup is lost; the tokens that a copy lacks are quickly recomputed. */
	running: 2500,
} as const;

/** Copies the part of the KV cache that the destination lacks; the run continues meanwhile. */
async function copyOnce(
	run: RunToCopy,
	destination: TargetEntry,
	{targetClient, log}: RunCopiesOptions,
) {
	const result = await targetClient.copyKvCache(
		{
			address: run.source.address,
			requestId: run.requestId,
			toAddress: destination.address,
		},
		copyTimeoutMs,
	);
	log('memory copied', {
		request: run.requestId,
		target: run.source.id,
		to: destination.id,
		outcome: result.outcome,
		reason: result.outcome === 'failed' ? result.reason : undefined,
	});
	return result;
}

/**
 * Copies a run's KV cache to another engine and updates the copy until the run is over, no engine has
 * room, or the attempts are used up. This handles engines that leave at two seconds' notice with many
 * runs. All runs of the engine share one network link; if a run were paused to copy its last part, it
 * would wait for the copies of the others, so runs are never paused.
 * @returns why copying has ended
 */
export async function maintainCopy(
	run: RunToCopy,
	options: RunCopiesOptions,
): Promise<CopyingEnd> {
	const refused = new Set([run.source.id]);
	let holder: TargetEntry | undefined;
	for (let attempt = 1; attempt <= maxCopyAttempts; attempt++) {
		if (holder && !run.mayHold(holder)) {
			refused.add(holder.id);
			holder = undefined;
		}

		const destination = holder ?? (await run.chooseTarget(refused));
		if (run.isOver()) {
			return 'run over';
		}

		if (!destination) {
			options.log('copy impossible', {
				request: run.requestId,
				target: run.source.id,
			});
			return 'no room';
		}

		const result = await copyOnce(run, destination, options);
		if (run.isOver()) {
			return 'run over';
		}

		if (result.outcome === 'copied') {
			holder = destination;
			run.onCopy({
				target: destination,
				kvCache: result.copy,
				certainty: 'known',
			});
			await options.timers.sleep(run.refreshIntervalMs);
		} else if (result.outcome === 'unknown-run' || result.outcome === 'busy') {
			await options.timers.sleep(copyRetryMs);
		} else {
			// A copy that can't be updated is kept; the run can still continue from it.
			holder = undefined;
			refused.add(destination.id);
		}

		if (run.isOver()) {
			return 'run over';
		}
	}

	return 'attempts used up';
}
