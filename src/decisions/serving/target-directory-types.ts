import type {
	Clock,
	Event,
	StoreRevision,
	TargetEntry,
} from '../../common/index.js';
import type {HeldDeparture} from './target-row-history.js';

/** A target that may receive requests. */
export type KnownTarget = {
	readonly entry: TargetEntry;
	/** Monotonic time at which this VM learned of the target, in milliseconds. */
	readonly firstSeenMs: number;
};

/** A row of the targets' table. */
export type TargetRow = {
	/** Undefined if the row can't be decoded; it then names no target. */
	readonly entry: TargetEntry | undefined;
	/** Revision of the last write of the row. */
	readonly revision: StoreRevision;
};

/** Why a target receives no more requests. */
export type DepartureReason =
	| 'draining'
	| 'invalid-row'
	| 'removed'
	| 'restarted'
	| 'lapsed'
	| 'misdirected';

/** A target that receives no more requests, and why. */
export type Departure = {
	readonly entry: TargetEntry;
	readonly reason: DepartureReason;
};

/** The targets of all services as listed in the store, corrected by what requests reveal about them. */
export type TargetDirectory = {
	/** Fires when a target may receive requests from now on. */
	readonly onArrived: Event<TargetEntry>;
	/** Fires when a target receives no more requests. */
	readonly onDeparted: Event<Departure>;
	/** Fires when a present target refuses a connection. */
	readonly onUnreachable: Event<TargetEntry>;
	/** Returns the targets of a service that may receive requests now. */
	usable(service: string): readonly KnownTarget[];
	/** Returns a target that has not left, even if it is unreachable. */
	get(targetId: string): KnownTarget | undefined;
	/** Returns the targets of all services that have not left. */
	all(): Iterable<KnownTarget>;
	/** Returns the rows of `all`, for other VMs. */
	rows(): ReadonlyArray<TargetRow & {readonly entry: TargetEntry}>;
	/** Returns the addresses of all targets, including those that left less than `lingerMs` ago. */
	addresses(): ReadonlySet<string>;
	/**
	 * Applies one row of the table, unless its revision is not newer than that of the known row.
	 * @param entry - undefined if the row was removed, or is invalid
	 */
	set(
		targetId: string,
		entry: TargetEntry | undefined,
		revision: StoreRevision,
		isInvalid?: boolean,
	): void;
	/**
	 * Applies a snapshot of the table; rows with a newer known revision are kept. The first snapshot of an era
	 * comes from an older copy of the store: it brings no target back that has left, and a target that it
	 * lacks, or of which it has an earlier incarnation, is kept for `lapseGraceMs`.
	 */
	reset(rows: ReadonlyMap<string, TargetRow>, revision: StoreRevision): void;
	/** Departures that the older copy of the store may not contain, for VMs that start from it. */
	heldDepartures(): readonly HeldDeparture[];
	/** Applies departures that another VM holds. */
	applyDepartures(departures: readonly HeldDeparture[]): void;
	/** Called when this VM can't reach the store; lapsed entries are kept from now on. */
	storeLost(): void;
	/** Called when the store can be reached again. */
	storeRegained(): void;
	/** Called when the target refused a connection; it is not used for `unreachableMs`. */
	markUnreachable(targetId: string): void;
	/** Called when the target has responded. */
	markReachable(targetId: string): void;
	/** True if the target refused the last connection attempt. */
	isUnreachable(targetId: string): boolean;
	/** Called when a different target responds at the target's address. */
	markReplaced(targetId: string): void;
	/** Removes expired targets and addresses of targets that left; called at regular intervals. */
	tick(): void;
};

/** Options of a target directory. */
export type TargetDirectoryOptions = {
	readonly clock: Clock;
	/** Time after the store is regained in which targets can renew their lapsed entries, in milliseconds. */
	readonly lapseGraceMs: number;
	/** Time for which a target is not used after it refused a connection, in milliseconds. */
	readonly unreachableMs: number;
	/** Time for which connections to a target that left are kept open, in milliseconds. */
	readonly lingerMs: number;
};
