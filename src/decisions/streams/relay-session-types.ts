import type {
	Clock,
	InvariantMonitor,
	RandomSource,
	Timers,
} from '../../common/index.js';
import type {ByteBudget} from './token-buffer.js';
import type {PendingCancellations} from './pending-cancellations.js';
import type {RelayLimits} from './relay-limits.js';
import type {
	CallerSink,
	GenerationPlacement,
	GenerationPlacer,
	GenerationRequest,
	RelayMetrics,
	RestartBudget,
} from './types.js';

/** Services and limits that all sessions of one daemon share. */
export type RelayContext = {
	/** Admits generations and chooses engines. */
	readonly placer: GenerationPlacer;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	readonly limits: RelayLimits;
	/** Limit on the memory for held-back tokens of all sessions. */
	readonly bufferBudget: ByteBudget;
	readonly restartBudget: RestartBudget;
	readonly cancellations: PendingCancellations;
	/** Called when a target refuses a request because it is leaving. */
	readonly onTargetLeaving: (targetId: string) => void;
	/** Called with an error that the placer threw; the stream continues. */
	readonly onUnexpected: (error: unknown) => void;
};

export type RelaySessionOptions = RelayContext & {
	readonly request: GenerationRequest;
	/** Time within which a caller that disconnected may resume its stream, in milliseconds. */
	readonly resumeWindowMs: number;
	readonly sink: CallerSink;
	readonly metrics: RelayMetrics;
};

/** Relays the response to one request from engines to its caller. */
export type RelaySession = {
	/** Places the request and starts a generation. */
	start(): void;
	/**
	 * Continues a stream that another entry VM may have served.
	 * @param receivedCount - number of tokens that the caller has
	 */
	resume(placement: GenerationPlacement, receivedCount: number): void;
	/** The caller accepts tokens again after `CallerSink.token` returned false. */
	drained(): void;
	/**
	 * The caller has disconnected. An unfinished generation is cancelled when the resume window ends, or at
	 * once if the stream cannot be resumed.
	 */
	callerDisconnected(): void;
};
