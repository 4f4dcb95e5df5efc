import type {Disposable, TargetEntry} from '../../common/index.js';
import type {
	AdmittedRequest,
	ServingSession,
	SessionServices,
} from './session-types.js';

/** Where a run goes, and where a copy of its memory is kept. */
export type StreamPlacement = {
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly firstTokenMs: number;
	/** Part of the engine's memory that is expected to be in use at the peak. */
	readonly memoryPart: number;
	readonly capacityTokens: number;
};

/** A run as others see it. */
export type StreamRun = {
	readonly admitted: AdmittedRequest;
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	readonly eventCount: number;
};

/** Counts what a run holds at its engine. */
export type RunAccount = Disposable & {
	/** Another event has arrived. */
	progressed(eventCount: number): void;
};

/** What streams work with. */
export type StreamSessionOptions = SessionServices & {
	/** Chooses an engine that is not to be avoided. */
	readonly place: (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
	) => StreamPlacement | undefined;
	/** Chooses an engine that keeps a copy of a run's memory. */
	readonly placeCopy: (
		admitted: AdmittedRequest,
		from: TargetEntry,
		avoid: ReadonlySet<string>,
	) => TargetEntry | undefined;
	/** Chooses a backup for a run that goes on at a target. */
	readonly placeBackup: (
		admitted: AdmittedRequest,
		targetId: string,
	) => TargetEntry | undefined;
	/** True until a target leaves. */
	readonly isPresent: (targetId: string) => boolean;
	/** True while a target is present and accepted a connection when it was last tried. */
	readonly isUsable: (targetId: string) => boolean;
	/** True while the store tells of targets that leave. */
	readonly hearsOfLeaving: () => boolean;
	readonly opened: (run: StreamRun) => RunAccount;
	/** The answer is whole. */
	readonly finished: (admitted: AdmittedRequest, eventCount: number) => void;
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
