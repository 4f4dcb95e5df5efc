import {
	createEmitter,
	type Clock,
	type Event,
	type TargetEntry,
} from '../../common/index.js';

/** A target that may receive requests. */
export type KnownTarget = {
	readonly entry: TargetEntry;
	/** Monotonic time at which this VM learned of the target, in milliseconds. */
	readonly firstSeenMs: number;
};

/** Why a target receives no more requests. */
export type DepartureReason =
	'draining' | 'removed' | 'restarted' | 'lapsed' | 'misdirected';

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
	/** Returns the addresses of all targets, including those that left less than `lingerMs` ago. */
	addresses(): ReadonlySet<string>;
	/**
	 * Applies one row of the table, unless its version is not newer than that of the known row.
	 * @param entry - undefined if the row was removed or could not be decoded
	 */
	set(targetId: string, entry: TargetEntry | undefined, version: number): void;
	/** Applies a snapshot of the table; rows with a newer known version are kept. */
	reset(rows: ReadonlyMap<string, TargetEntry>, version: number): void;
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

/** Creates a directory without targets. */
export function createTargetDirectory(
	options: TargetDirectoryOptions,
): TargetDirectory {
	const {clock, lapseGraceMs, lingerMs} = options;
	const arrived = createEmitter<TargetEntry>();
	const departed = createEmitter<Departure>();
	const becameUnreachable = createEmitter<TargetEntry>();
	const targets = new Map<string, KnownTarget>();
	/** Version of the newest row that was applied for each target. */
	const versions = new Map<string, number>();
	/** Monotonic times until which targets with a lapsed entry are kept; Infinity while the store is lost. */
	const lapsedUntilMs = new Map<string, number>();
	/** Monotonic times until which targets that refused the last connection attempt are not used. */
	const unreachableUntilMs = new Map<string, number>();
	/** Monotonic times until which connections to the addresses of targets that left are kept. */
	const lingeringUntilMs = new Map<string, number>();
	let byService: Map<string, KnownTarget[]> | undefined;
	let isStoreLost = false;
	let storeRegainedMs = -Infinity;

	const depart = (targetId: string, reason: DepartureReason) => {
		const known = targets.get(targetId);
		lapsedUntilMs.delete(targetId);
		if (known) {
			targets.delete(targetId);
			unreachableUntilMs.delete(targetId);
			byService = undefined;
			lingeringUntilMs.set(known.entry.address, clock.nowMs() + lingerMs);
			departed.fire({entry: known.entry, reason});
		}
	};

	const handleRemoval = (targetId: string) => {
		const nowMs = clock.nowMs();
		if (!targets.has(targetId)) {
			return;
		}

		// Heartbeats can't reach an unavailable store, so that entries lapse although their targets are alive.
		if (isStoreLost) {
			lapsedUntilMs.set(targetId, Infinity);
		} else if (nowMs < storeRegainedMs + lapseGraceMs) {
			lapsedUntilMs.set(targetId, storeRegainedMs + lapseGraceMs);
		} else {
			depart(targetId, 'removed');
		}
	};

	const arrive = (entry: TargetEntry) => {
		const known = targets.get(entry.id);
		const isSame =
			known?.entry.bornMs === entry.bornMs &&
			known?.entry.address === entry.address;
		if (known && !isSame) {
			depart(entry.id, 'restarted');
		}

		lapsedUntilMs.delete(entry.id);
		if (entry.state === 'draining') {
			depart(entry.id, 'draining');
			return;
		}

		byService = undefined;
		targets.set(entry.id, {
			entry,
			firstSeenMs: isSame && known ? known.firstSeenMs : clock.nowMs(),
		});
		if (!known || !isSame) {
			arrived.fire(entry);
		}
	};

	const set = (
		targetId: string,
		entry: TargetEntry | undefined,
		version: number,
	) => {
		if ((versions.get(targetId) ?? -1) >= version) {
			return;
		}

		versions.set(targetId, version);
		if (entry) {
			arrive(entry);
		} else {
			handleRemoval(targetId);
		}
	};

	return {
		onArrived: arrived.event,
		onDeparted: departed.event,
		onUnreachable: becameUnreachable.event,
		usable(service) {
			if (!byService) {
				byService = new Map();
				for (const known of targets.values()) {
					const list = byService.get(known.entry.service) ?? [];
					list.push(known);
					byService.set(known.entry.service, list);
				}
			}

			const list = byService.get(service) ?? [];
			if (unreachableUntilMs.size === 0) {
				return list;
			}

			const nowMs = clock.nowMs();
			return list.filter(
				({entry}) => (unreachableUntilMs.get(entry.id) ?? -Infinity) <= nowMs,
			);
		},
		get(targetId) {
			return targets.get(targetId);
		},
		all() {
			return targets.values();
		},
		addresses() {
			return new Set([
				...[...targets.values()].map((known) => known.entry.address),
				...lingeringUntilMs.keys(),
			]);
		},
		set,
		reset(rows, version) {
			for (const targetId of targets.keys()) {
				if (!rows.has(targetId)) {
					set(targetId, undefined, version);
				}
			}

			for (const [targetId, entry] of rows) {
				// A row relayed by another VM may be newer than this snapshot.
				if ((versions.get(targetId) ?? -1) <= version) {
					arrive(entry);
					versions.set(targetId, version);
				}
			}
		},
		storeLost() {
			isStoreLost = true;
		},
		storeRegained() {
			isStoreLost = false;
			storeRegainedMs = clock.nowMs();
			for (const targetId of lapsedUntilMs.keys()) {
				lapsedUntilMs.set(targetId, storeRegainedMs + lapseGraceMs);
			}
		},
		markUnreachable(targetId) {
			const known = targets.get(targetId);
			if (!known) {
				return;
			}

			unreachableUntilMs.set(targetId, clock.nowMs() + options.unreachableMs);
			becameUnreachable.fire(known.entry);
		},
		markReachable(targetId) {
			unreachableUntilMs.delete(targetId);
		},
		isUnreachable(targetId) {
			return unreachableUntilMs.has(targetId);
		},
		markReplaced(targetId) {
			depart(targetId, 'misdirected');
		},
		tick() {
			const nowMs = clock.nowMs();
			for (const [targetId, untilMs] of lapsedUntilMs) {
				if (nowMs >= untilMs) {
					depart(targetId, 'lapsed');
				}
			}

			for (const [address, untilMs] of lingeringUntilMs) {
				if (nowMs >= untilMs) {
					lingeringUntilMs.delete(address);
				}
			}
		},
	};
}
