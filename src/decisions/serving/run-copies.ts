import type {
	KvCacheCopy,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {DecisionLog} from './session-types.js';
import type {StreamPlacement} from './stream-session-types.js';

/** A copy of a run's memory. */
export type RunCopy = {
	readonly target: TargetEntry;
	readonly kvCache: KvCacheCopy;
};

/** The placement of a run that goes on where its copy is, which needs no forecast. */
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

/** A run whose engine leaves. */
export type RunToCopy = {
	readonly requestId: string;
	readonly source: TargetEntry;
	/** Time after which a copy is brought up to date, in milliseconds. */
	readonly refreshIntervalMs: number;
	/** True once the run has ended or goes on elsewhere. */
	readonly isOver: () => boolean;
	/** Chooses an engine to keep the copy. */
	readonly chooseTarget: (
		refused: ReadonlySet<string>,
	) => Promise<TargetEntry | undefined>;
	/** A copy was made or brought up to date. */
	readonly onCopy: (copy: RunCopy) => void;
};

/** What copies are made with. */
export type RunCopiesOptions = {
	readonly targetClient: TargetClient;
	readonly timers: Timers;
	readonly log: DecisionLog;
};

const copyTimeoutMs = 2500;
/** Bounds the copies of a run whose engine says that it leaves and stays. */
const maxCopyAttempts = 16;
/** Time after which an engine is asked again that has not begun the run or copies it already. */
const copyRetryMs = 150;
/** Times after which copies are brought up to date, in milliseconds. */
export const copyRefreshIntervalMs = {
	/** The engine of the run leaves. */
	leaving: 500,
	/** The run goes on, and its backup is lost; what a copy lacks is soon read again. */
	running: 2500,
} as const;

/** Copies what the engine does not have yet; the run goes on meanwhile. */
async function copyOnce(
	run: RunToCopy,
	to: TargetEntry,
	{targetClient, log}: RunCopiesOptions,
) {
	const result = await targetClient.copyKvCache(
		run.source.address,
		run.requestId,
		to.address,
		copyTimeoutMs,
	);
	log('memory copied', {
		request: run.requestId,
		target: run.source.id,
		to: to.id,
		outcome: result.outcome,
		reason: result.outcome === 'failed' ? result.reason : undefined,
	});
	return result;
}

/**
 * Keeps a copy of a run at another engine until its own is gone. Answers the pattern "engines leave
 * at two seconds' notice with many runs": the runs share one link, and a run that is stopped for its
 * last part waits behind the others, so none is stopped.
 */
export async function maintainCopy(
	run: RunToCopy,
	options: RunCopiesOptions,
): Promise<void> {
	const refused = new Set([run.source.id]);
	let keeper: TargetEntry | undefined;
	for (let attempt = 1; attempt <= maxCopyAttempts; attempt++) {
		const to = keeper ?? (await run.chooseTarget(refused));
		if (run.isOver()) {
			return;
		}

		if (!to) {
			options.log('copy impossible', {
				request: run.requestId,
				target: run.source.id,
			});
			return;
		}

		const result = await copyOnce(run, to, options);
		if (run.isOver()) {
			return;
		}

		if (result.outcome === 'copied') {
			keeper = to;
			run.onCopy({target: to, kvCache: result.copy});
			await options.timers.sleep(run.refreshIntervalMs);
		} else if (result.outcome === 'unknown-run' || result.outcome === 'busy') {
			await options.timers.sleep(copyRetryMs);
		} else {
			// A copy that cannot be brought up to date still holds what it has.
			keeper = undefined;
			refused.add(to.id);
		}

		if (run.isOver()) {
			return;
		}
	}
}
