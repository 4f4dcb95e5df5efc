import type {
	CallerRequest,
	Disposable,
	TargetEntry,
} from '../../common/index.js';
import type {ClosedRefusal} from '../target-statements/index.js';
import type {SilentRunFinding} from './silent-runs.js';
import type {RequestContinuationTurn} from './continuation-turn.js';
import type {
	AdmittedRequest,
	ServingSession,
	SessionServices,
} from './session-types.js';

/** Engine that is to execute a run, and the engine that receives a copy of the run's KV cache. */
export type StreamPlacement = {
	/** Identifies the placement to the coordinator that accounts for it. */
	readonly id: string;
	readonly target: TargetEntry;
	/** Engine to which the run's KV cache is copied as it grows; undefined if none has room. */
	readonly backup: TargetEntry | undefined;
	/** Expected time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Fraction of the engine's memory that is expected to be in use at the peak. */
	readonly memoryFraction: number;
	/** True if the first token is not expected within the objective, which lowers the run's priority. */
	readonly isLate: boolean;
	/** Address of the VM that chose the engine. */
	readonly decidedBy: string;
};

/** Receives the outcome of a search for an engine. */
export type PlacementListener = {
	onPlaced(placement: StreamPlacement): void;
	/** @param retryAfterMs - time after which an engine may have room, in milliseconds, if it is known */
	onRefused(reason: string, retryAfterMs?: number): void;
};

/** A run in progress: the execution of a generation at one engine. */
export type StreamRun = {
	/** Id of the run's placement; engines know the run by the id of the request. */
	readonly placementId: string;
	readonly admitted: AdmittedRequest;
	readonly target: TargetEntry;
	readonly backup: TargetEntry | undefined;
	/** Number of events that the caller has received. */
	readonly eventCount: number;
};

/** `known` if an engine has said that a copy of a run's KV cache exists, `possible` if it may exist. */
export type CopyCertainty = 'known' | 'possible';

/** A run whose send failed, after its engine had received the request, before the response was complete. */
export type LostRun = {
	readonly request: CallerRequest;
	readonly target: TargetEntry;
	/** Monotonic time at which the request was sent to the engine, in milliseconds. */
	readonly sentMs: number;
	/** Status of the incomplete response; undefined if none had arrived. */
	readonly status: number | undefined;
	/** Number of events that the caller has received. */
	readonly eventCount: number;
	/** Number of these that this engine has sent. */
	readonly attemptEventCount: number;
	/** True if the engine, or the network, ended the connection. */
	readonly connectionEnded: boolean;
	/** The best copy from which the run may continue. */
	readonly copy: CopyCertainty | 'none';
};

/** Tracks the load that a run causes at its engine, until disposed. */
export type RunTracker = Disposable & {
	/** @param eventCount - number of events that the caller has received */
	progressed(eventCount: number): void;
	/** Called when another engine has received a copy of the run's KV cache. */
	copied(holder: TargetEntry): void;
};

/** Dependencies of a stream session. */
export type StreamSessionOptions = SessionServices & {
	/** Refusal of a request if every engine of the service says that it takes none. */
	readonly closedRefusal: (service: string) => ClosedRefusal | undefined;
	/**
	 * Searches for an engine; the listener may be called before this returns.
	 * @param avoid - ids of targets that are not chosen
	 * @returns disposing it cancels the search
	 */
	readonly place: (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
		listener: PlacementListener,
	) => Disposable;
	/**
	 * Searches for an engine that can hold a copy of a run's KV cache.
	 * @param avoid - ids of targets that are not chosen
	 * @returns undefined if no engine has room
	 */
	readonly placeCopy: (
		run: StreamRun,
		avoid: ReadonlySet<string>,
	) => Promise<TargetEntry | undefined>;
	readonly requestContinuationTurn: RequestContinuationTurn;
	/** True while the target is known and not leaving. */
	readonly isPresent: (targetId: string) => boolean;
	/** True while the target is present and its last connection attempt did not fail. */
	readonly isReachable: (targetId: string) => boolean;
	/** True while nothing may be sent to the engine since its availability zone is evacuated. */
	readonly isEvacuated: (target: TargetEntry) => boolean;
	/** True while the store can be read, so that leaving targets are reported in time. */
	readonly areDeparturesReported: () => boolean;
	/** Starts to count the load of a run. */
	readonly trackRun: (run: StreamRun) => RunTracker;
	/** Why the request may not be sent to an engine again, as engines end under it; undefined if it may. */
	readonly heldReason: (request: CallerRequest) => string | undefined;
	/**
	 * Called when the caller has received events of a run.
	 * @param before - number of events that this engine had sent before, for the run as it was sent there
	 * @param now - number that it has sent now
	 */
	readonly onProgress: (
		request: CallerRequest,
		before: number,
		now: number,
	) => void;
	/** Called when an engine was asked about a run whose connection is silent. */
	readonly onSilentRun: (finding: SilentRunFinding) => void;
	/** Called when a run is lost, before it continues elsewhere. */
	readonly onRunLost: (run: LostRun) => void;
	/** Called when a stream has ended normally. */
	readonly onFinished: (admitted: AdmittedRequest, eventCount: number) => void;
};

/** A stream in progress. */
export type StreamSession = ServingSession & {
	/** True once the caller has its final response. */
	readonly isDone: boolean;
	/** Undefined while no engine has the request. */
	readonly run: StreamRun | undefined;
	/** Called when an engine is leaving, is evacuated or refuses connections; starts a copy of the run if needed. */
	engineUnusable(targetId: string): void;
	/** Checks for a stalled run; called at regular intervals. */
	tick(): void;
};
