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

/** What the sessions of one daemon share. */
export type RelayContext = {
	/** Admits generations and chooses engines. */
	readonly placer: GenerationPlacer;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	readonly limits: RelayLimits;
	/** Memory for held-back tokens. */
	readonly bufferBudget: ByteBudget;
	readonly restartBudget: RestartBudget;
	readonly cancellations: PendingCancellations;
	/** Called when a target refuses work because it is leaving. */
	readonly onTargetLeaving: (targetId: string) => void;
	/** The placer has failed; the stream goes on. */
	readonly onUnexpected: (error: unknown) => void;
};

/** What a session needs. */
export type RelaySessionOptions = RelayContext & {
	readonly request: GenerationRequest;
	/** Time in which a caller that left may come back, in milliseconds. */
	readonly resumeWindowMs: number;
	readonly sink: CallerSink;
	readonly metrics: RelayMetrics;
};

/** Relays one request's answer from engines to its caller. */
export type RelaySession = {
	/** Places the request and starts a generation. */
	start(): void;
	/**
	 * Continues a stream that another entry VM may have served.
	 * @param position - number of tokens that the caller has
	 */
	resume(place: GenerationPlacement, position: number): void;
	/** The caller takes tokens again after `token` returned false. */
	drained(): void;
	/** The caller is gone. */
	callerDisconnected(): void;
};
