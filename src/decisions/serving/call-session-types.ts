import type {
	Clock,
	Disposable,
	TargetEntry,
	TargetLink,
	Timers,
} from '../../common/index.js';
import type {RetryShare} from './retry-share.js';
import type {DecisionLog} from './session-types.js';

/** What calls to plain services work with. */
export type CallSessionOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly link: TargetLink;
	readonly retryShare: RetryShare;
	readonly log: DecisionLog;
	/** Chooses a target that has not had the request. */
	readonly choose: (
		service: string,
		avoid: ReadonlySet<string>,
	) => TargetEntry | undefined;
	/** Counts a send; disposed when it has ended. */
	readonly opened: (target: TargetEntry) => Disposable;
	/** A send ended. */
	readonly ended: (
		target: TargetEntry,
		succeeded: boolean,
		latencyMs: number,
	) => void;
	/** Nothing accepts connections at the address. */
	readonly unreachable: (target: TargetEntry) => void;
	/** The target at the address is another one. */
	readonly misdirected: (target: TargetEntry) => void;
};
