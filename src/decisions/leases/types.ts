import type {
	FencingSupport,
	LeaseHolder,
	TargetOrder,
} from '../../common/index.js';

/** Wanted state that a command names, without its fencing number. */
export type OrderContent = Pick<TargetOrder, 'kind' | 'name' | 'version'>;

/** The command in flight, written to the lease row before its first copy is sent. */
export type CommandIntent = {
	readonly commandId: string;
	readonly order: OrderContent;
	/** Why the command was given, for the record of commands. */
	readonly cause: string;
	/** Copies that the present holder has announced; each is counted before it is sent. */
	readonly sentCount: number;
	/** Copies of the present holder that were answered, as of the last write. */
	readonly answeredCount: number;
	/** Copies of earlier holders without a known answer. */
	readonly inheritedCount: number;
};

/** Value of a lease row. */
export type LeaseRecord = {
	/** Undefined after a release. */
	readonly holder: LeaseHolder | undefined;
	/** Grows with every change of the holder and with every command. */
	readonly fencingNumber: number;
	/** Grows with every write, so that challengers see the row change. */
	readonly renewal: number;
	readonly intent: CommandIntent | undefined;
	/** Earlier holder that may still send; the present one stays passive meanwhile. */
	readonly waitingFor: LeaseHolder | undefined;
	/** Models that commands have loaded or unloaded; the holder repairs deviations from it. */
	readonly wantedModels: Readonly<Record<string, WantedModel>>;
};

/** Wanted state of one model on a target. */
export type WantedModel = {
	readonly state: 'loaded' | 'unloaded';
	readonly version: string;
};

/** Settings of leases. */
export type LeaseSettings = {
	/** Time without a change of the row after which a challenger takes over, in milliseconds. */
	readonly durationMs: number;
	/** Time between renewals, in milliseconds. */
	readonly renewalMs: number;
	/** Time after which a command whose state does not show is sent again, in milliseconds. */
	readonly resendMs: number;
	/** Time after its call ended for which a copy without an answer may still arrive, in milliseconds. */
	readonly lateCopyMs: number;
};

/** One copy of a command that this process sent. */
export type SentCopy = {
	readonly commandId: string;
	readonly copyNumber: number;
	readonly fencingNumber: number;
	readonly sentMs: number;
	/** `unanswered` means that the call ended without an answer; the copy may still arrive. */
	readonly outcome: 'open' | 'accepted' | 'refused' | 'unanswered';
	/** When the call ended. */
	readonly endedMs: number | undefined;
};

/** What one entry VM knows of one target's lease. Times are monotonic and its own. */
export type LeaseState = {
	readonly self: LeaseHolder;
	readonly fencing: FencingSupport;
	/** Order in which candidates challenge; 0 challenges first, below 0 not at all. */
	readonly rank: number;
	/** Undefined until the row was read. */
	readonly record: LeaseRecord | undefined;
	/** Version of the row, 0 if it is absent. */
	readonly version: number;
	/** When this version was first seen. */
	readonly unchangedSinceMs: number;
	/** Until when this VM may act as the holder. */
	readonly validUntilMs: number;
	/** Start of the last confirmed write. */
	readonly renewedMs: number;
	/** Since when this VM holds the lease and no earlier holder can send. */
	readonly heldSinceMs: number;
	/** Write whose result is not known yet. */
	readonly pendingWrite:
		{readonly record: LeaseRecord; readonly startedMs: number} | undefined;
	/** True if the row has to be read before anything else. */
	readonly mustRead: boolean;
	/** Since when the earlier holder is known to send nothing more, and whether all was answered. */
	readonly predecessor: 'unknown' | 'stopped' | 'gone';
	readonly copies: readonly SentCopy[];
	/** Time for which the target last showed the state that the intent wants. */
	readonly seenAppliedMs: number | undefined;
	/** Time for which the figures of the last report hold. */
	readonly reportMs: number;
	/** Since when the row holds no intent, while this VM holds the lease. */
	readonly freeSinceMs: number;
	/** Asked to stop by a holder with this number; nothing is sent below it. */
	readonly minFencingNumber: number;
};

/** What happens to a lease. */
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
			/** Time for which the report's figures hold. */
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

/** Why a lease row is written. */
export type WritePurpose =
	'take' | 'renew' | 'activate' | 'announce' | 'clear' | 'intent' | 'release';

/** What the holder or a challenger should do next. */
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

/** The decisions about one lease, as plain functions. */
export type LeaseDecisions = {
	/** State after an event. */
	advance(
		state: LeaseState,
		event: LeaseEvent,
		nowMs: number,
		settings: LeaseSettings,
	): LeaseState;
	/** Next action. It is asked for again directly before it is carried out. */
	decide(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): LeaseAction;
	/** True if a new command may be announced. */
	mayIssueCommand(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): boolean;
	/** Answer to a later holder that asks whether this VM has stopped. */
	hasStopped(
		state: LeaseState,
		nowMs: number,
		settings: LeaseSettings,
	): boolean;
};

/** What was done for one target, why, and with what result. */
export type LeaseExplainEntry = {
	readonly subject: string;
	readonly cause: string;
	readonly result: string;
};
