import type {Disposable, TargetEntry} from '../../common/index.js';
import type {
	AdmittedRequest,
	ServingSession,
	SessionServices,
} from './session-types.js';

/** Where a run goes, and where a copy of its memory is kept. */
export type StreamPlacement = {
	/** Names the placement towards the VM that keeps account of it. */
	readonly id: string;
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly firstTokenMs: number;
	/** Part of the engine's memory that is expected to be in use at the peak. */
	readonly memoryFraction: number;
	/** True if the first token is not expected in time, so that the run yields to others. */
	readonly isLate: boolean;
	/** Address of the VM that chose the engine. */
	readonly decidedBy: string;
};

/** Receives what becomes of a wish for an engine. */
export type PlacementListener = {
	onPlaced(placement: StreamPlacement): void;
	/** @param retryAfterMs - time after which there may be an engine, in milliseconds */
	onRefused(reason: string, retryAfterMs: number): void;
};

/** A run as others see it. */
export type StreamRun = {
	/** Id of its placement. */
	readonly placementId: string;
	readonly admitted: AdmittedRequest;
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly eventCount: number;
};

/** Counts what a run holds at its engine. */
export type RunTracker = Disposable & {
	/** Another event has arrived. */
	progressed(eventCount: number): void;
	/** Another engine keeps a copy of its memory. */
	copied(keeper: TargetEntry): void;
};

/** What streams work with. */
export type StreamSessionOptions = SessionServices & {
	/**
	 * Looks for an engine that is not to be avoided; the listener may hear at once.
	 * @returns disposing it ends the search
	 */
	readonly place: (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
		listener: PlacementListener,
	) => Disposable;
	/** Looks for an engine that keeps a copy of a run's memory; undefined if none has room. */
	readonly placeCopy: (
		run: StreamRun,
		avoid: ReadonlySet<string>,
	) => Promise<TargetEntry | undefined>;
	/** True until a target leaves. */
	readonly isPresent: (targetId: string) => boolean;
	/** True while a target is present and accepted a connection when it was last tried. */
	readonly isReachable: (targetId: string) => boolean;
	/** True while the store tells of targets that leave. */
	readonly areDeparturesReported: () => boolean;
	readonly trackRun: (run: StreamRun) => RunTracker;
	/** The answer is whole. */
	readonly onFinished: (admitted: AdmittedRequest, eventCount: number) => void;
};

/** A stream under way. */
export type StreamSession = ServingSession & {
	/** True once the caller has its final answer. */
	readonly isDone: boolean;
	readonly run: StreamRun | undefined;
	/** An engine is about to leave, or accepts no connection. */
	engineUnusable(targetId: string): void;
	/** Checks for silence; called regularly. */
	tick(): void;
};
