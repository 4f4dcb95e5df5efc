import type {
	FencingSupport,
	LeaseHolder,
	TargetOrder,
} from '../../common/index.js';

/** State that a command requests from a target; the fencing number is added when a copy is sent. */
export type OrderContent = Pick<TargetOrder, 'kind' | 'name' | 'version'>;

/**
 * The command in flight. It is written to the lease row before its first copy is sent, so that a
 * later holder can complete it. A command is one order with an id; a copy of it is one transmission
 * to the target, and a command may be sent several times.
 */
export type CommandIntent = {
	readonly commandId: string;
	readonly order: OrderContent;
	/** Why the command was issued; only for the explain log. */
	readonly cause: string;
	/** Copies that the current holder has announced; each is counted here before it is sent. */
	readonly sentCount: number;
	/** Copies of the current holder to which the target has responded, as of the last write. */
	readonly answeredCount: number;
	/** Copies of earlier holders without a known response; they may still arrive. */
	readonly inheritedCount: number;
};

/**
 * Value of a lease row. Only the holder of a target's lease sends commands to that target, under the
 * lease's fencing number.
 */
export type LeaseRecord = {
	/** Undefined after a release. */
	readonly holder: LeaseHolder | undefined;
	/** Incremented with every takeover, every command and every announced resend. */
	readonly fencingNumber: number;
	/** Incremented by every write, so that challengers see that the holder is alive. */
	readonly renewal: number;
	readonly intent: CommandIntent | undefined;
	/**
	 * Earlier holder that may still send. The current holder sends nothing until that holder has
	 * confirmed that it stopped or is known to be gone.
	 */
	readonly waitingFor: LeaseHolder | undefined;
	/** State in which the last command left each model; the holder repairs deviations from it. */
	readonly wantedModels: Readonly<Record<string, WantedModel>>;
};

/** State that the last command for a model requested. */
export type WantedModel = {
	readonly state: 'loaded' | 'unloaded';
	readonly version: string;
};

/** Timing of leases and commands; the same for the whole fleet. */
export type LeaseSettings = {
	/**
	 * Validity of a lease after a write of its row, and time without a change of the row after which
	 * a challenger takes over, in milliseconds.
	 */
	readonly durationMs: number;
	/** Time between renewals, in milliseconds. */
	readonly renewalMs: number;
	/**
	 * Time after a copy was sent until the command is resent, if no load report shows its state, in
	 * milliseconds.
	 */
	readonly resendMs: number;
	/**
	 * Time after the end of a request without a response for which its copy may still reach the
	 * target, in milliseconds.
	 */
	readonly lateCopyMs: number;
};

/** One copy of a command that this process sent. Times are monotonic. */
export type SentCopy = {
	readonly commandId: string;
	readonly copyNumber: number;
	readonly fencingNumber: number;
	readonly sentMs: number;
	/** `unanswered`: the request ended without a response; the copy may still reach the target. */
	readonly outcome: 'open' | 'accepted' | 'refused' | 'unanswered';
	/** When the request ended; undefined while it is open. */
	readonly endedMs: number | undefined;
};

/** State of one target's lease on one entry VM. All times are monotonic times of this VM. */
export type LeaseState = {
	readonly self: LeaseHolder;
	readonly fencing: FencingSupport;
	/** Position among the challengers: 0 challenges first, a negative rank never does. */
	readonly rank: number;
	/** Last known value of the row; undefined if the row is absent or has not been read. */
	readonly record: LeaseRecord | undefined;
	/** Version of the row: 0 if it is absent, -1 before the first read. */
	readonly version: number;
	/** When this version was first seen; a challenger measures the holder's inactivity from here. */
	readonly unchangedSinceMs: number;
	/** End of this VM's lease, 0 if it is not the holder. */
	readonly validUntilMs: number;
	/** When the last confirmed write was started. */
	readonly renewedMs: number;
	/** When this VM became the holder or, if later, when it stopped waiting for an earlier holder. */
	readonly heldSinceMs: number;
	/** Write whose result is not known. */
	readonly pendingWrite:
		{readonly record: LeaseRecord; readonly startedMs: number} | undefined;
	/** True if the row has to be read before any other action. */
	readonly mustRead: boolean;
	/**
	 * What is known of the holder in `waitingFor`: `stopped` if it confirmed that it sends nothing
	 * more and that no copy of it can still arrive, `gone` if its process has ended and copies may
	 * still arrive.
	 */
	readonly predecessor: 'unknown' | 'stopped' | 'gone';
	readonly copies: readonly SentCopy[];
	/**
	 * Time of the last load report if it shows the state that the intent requests; undefined
	 * otherwise.
	 */
	readonly seenAppliedMs: number | undefined;
	/** Time at which the values of the last load report were current. */
	readonly reportMs: number;
	/** Since when the row has had no intent while this VM holds the lease. */
	readonly freeSinceMs: number;
	/** Highest fencing number of a later holder; this VM sends nothing under a lower one. */
	readonly minFencingNumber: number;
};

/** Input of {@link LeaseDecisions.advance}: a result of an action, a load report or a request. */
export type LeaseEvent =
	| {
			readonly type: 'row-seen';
			readonly record: LeaseRecord | undefined;
			readonly version: number;
	  }
	| {readonly type: 'write-started'; readonly record: LeaseRecord}
	| {readonly type: 'write-done'; readonly version: number}
	| {readonly type: 'write-failed'}
	| {readonly type: 'write-unknown'}
	| {readonly type: 'copy-sent'}
	| {
			readonly type: 'copy-ended';
			readonly commandId: string;
			readonly copyNumber: number;
			readonly outcome: 'accepted' | 'refused' | 'unanswered';
	  }
	| {
			readonly type: 'report';
			/** Monotonic time at which the report's values were current. */
			readonly atMs: number;
			readonly models: readonly string[];
	  }
	| {
			readonly type: 'predecessor';
			readonly holder: LeaseHolder;
			readonly evidence: 'stopped' | 'gone';
	  }
	| {readonly type: 'stop-asked'; readonly fencingNumber: number}
	| {readonly type: 'candidate'; readonly rank: number};

/**
 * Why a lease row is written: `take` by a challenger, `renew` to extend the lease, `activate` when no
 * earlier holder can send any more, `intent` for a new command, `announce` for a further copy of it,
 * `clear` when it is complete, `release` to give the lease up.
 */
export type WritePurpose =
	'take' | 'renew' | 'activate' | 'announce' | 'clear' | 'intent' | 'release';

/** Next action of a holder or challenger; `ask` sends a stop request to the earlier holder. */
export type LeaseAction =
	| {readonly kind: 'wait'}
	| {readonly kind: 'read'}
	| {
			readonly kind: 'write';
			readonly purpose: WritePurpose;
			readonly record: LeaseRecord;
	  }
	| {
			readonly kind: 'send';
			readonly commandId: string;
			readonly copyNumber: number;
			readonly order: TargetOrder;
	  }
	| {readonly kind: 'ask'; readonly holder: LeaseHolder};

/** State machine of one lease, as functions without side effects. */
export type LeaseDecisions = {
	/** Returns the state after an event. */
	advance(
		state: LeaseState,
		event: LeaseEvent,
		nowMs: number,
		settings: LeaseSettings,
	): LeaseState;
	/**
	 * Returns the next action. It holds only for the moment, so callers decide again directly before
	 * they perform an action.
	 */
	decide(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): LeaseAction;
	/** True if this VM may issue a new command: it may act and no command is in flight. */
	mayIssueCommand(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): boolean;
	/** True if no copy that this VM sent can still reach the target. */
	hasStopped(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): boolean;
};

/** Entry of the explain log: an action on one target, its cause and its result. */
export type LeaseExplainEntry = {
	readonly subject: string;
	readonly cause: string;
	readonly result: string;
};
