import type {Disposable, TargetEntry} from '../../common/index.js';
import type {CallTargetSearch} from './call-target-search.js';
import type {SessionServices} from './session-types.js';

/** An open call, and what it shows of the target. */
export type TrackedCall = Disposable & {
	/**
	 * Records whether the target has answered; also after the call was disposed.
	 * @param latencyMs - time since the send, in milliseconds
	 */
	recordOutcome(isAnswered: boolean, latencyMs: number): void;
};

/** Dependencies of a session for a call to a plain service. */
export type CallSessionOptions = SessionServices & {
	/** Finds a target of the service; one with a rate limit only with a permit. */
	readonly findTarget: CallTargetSearch['find'];
	/** Counts an open call to the target until the result is disposed. */
	readonly trackCall: (
		target: TargetEntry,
		isIdempotent: boolean,
	) => TrackedCall;
	/** Why a call to the target leaves the VM's availability zone; undefined if it stays there. */
	readonly leavingReason: (target: TargetEntry) => string | undefined;
};
