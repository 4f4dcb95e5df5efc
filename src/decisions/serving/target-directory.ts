import {
	createEmitter,
	type Clock,
	type Event,
	type TargetEntry,
} from '../../common/index.js';

/** A target that may get requests. */
export type KnownTarget = {
	readonly entry: TargetEntry;
	/** Monotonic time at which this VM first heard of it, in milliseconds. */
	readonly firstSeenMs: number;
};

/** Why a target gets no more requests. */
export type DepartureReason =
	'draining' | 'removed' | 'restarted' | 'lapsed' | 'misdirected';

/** A target that gets no more requests. */
export type Departure = {
	readonly entry: TargetEntry;
	readonly reason: DepartureReason;
};

/** Targets by what the store says of them. */
export type TargetDirectory = {
	readonly onArrived: Event<TargetEntry>;
	readonly onDeparted: Event<Departure>;
	/** A target that may get requests accepts no connections. */
	readonly onUnreachable: Event<TargetEntry>;
	/** Targets of a service that may get requests. */
	usable(service: string): readonly KnownTarget[];
	get(targetId: string): KnownTarget | undefined;
	/** Targets of all services that have not left. */
	all(): Iterable<KnownTarget>;
	/** Addresses of all targets that may still have requests under way. */
	addresses(): ReadonlySet<string>;
	/** Takes over one row; undefined removes it. */
	set(targetId: string, entry: TargetEntry | undefined, version: number): void;
	/** Takes over a whole table. */
	reset(rows: ReadonlyMap<string, TargetEntry>, version: number): void;
	/** The store cannot be reached from here. */
	storeLost(): void;
	/** The store can be reached again. */
	storeRegained(): void;
	/** Nothing accepts connections at the address; it is not used for a while. */
	markUnreachable(targetId: string): void;
	/** The target has answered. */
	markReachable(targetId: string): void;
	/** True if the target accepted no connection when it was last tried. */
	isUnreachable(targetId: string): boolean;
	/** The target itself says that it leaves. */
	markLeaving(targetId: string): void;
	/** Another target answers at the address. */
	markReplaced(targetId: string): void;
	/** Settles lapsed entries; called regularly. */
	tick(): void;
};

/** Options of a directory. */
export type TargetDirectoryOptions = {
	readonly clock: Clock;
	/** Time after the store's return in which entries that lapsed are written again, in milliseconds. */
	readonly lapseGraceMs: number;
	/** Time for which a target that refused a connection is not used, in milliseconds. */
	readonly unreachableMs: number;
	/** Time for which the address of a target that left keeps its connections, in milliseconds. */
	readonly lingerMs: number;
};

/** Creates a directory without targets. */
export function createTargetDirectory(
	options: TargetDirectoryOptions,
): TargetDirectory {
	const {clock, lapseGraceMs, lingerMs} = options;
	const arrived = createEmitter<TargetEntry>();
	const leaving = createEmitter<Departure>();
	const unreached = createEmitter<TargetEntry>();
	const targets = new Map<string, KnownTarget>();
	const versions = new Map<string, number>();
	/** Targets without an entry, by the time at which they count as gone. */
	const lapsed = new Map<string, number>();
	/** Targets that accepted no connection at the last try, by the time until which they are not used. */
	const unreachable = new Map<string, number>();
	const lingering = new Map<string, number>();
	let byService: Map<string, KnownTarget[]> | undefined;
	let isStoreLost = false;
	let regainedMs = -Infinity;

	const depart = (targetId: string, reason: DepartureReason) => {
		const known = targets.get(targetId);
		lapsed.delete(targetId);
		if (known) {
			targets.delete(targetId);
			unreachable.delete(targetId);
			byService = undefined;
			lingering.set(known.entry.address, clock.nowMs() + lingerMs);
			leaving.fire({entry: known.entry, reason});
		}
	};

	const removed = (targetId: string) => {
		const nowMs = clock.nowMs();
		if (!targets.has(targetId)) {
			return;
		}

		// Heartbeats cannot reach a store that is away, so entries lapse although the target lives.
		if (isStoreLost) {
			lapsed.set(targetId, Infinity);
		} else if (nowMs < regainedMs + lapseGraceMs) {
			lapsed.set(targetId, regainedMs + lapseGraceMs);
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

		lapsed.delete(entry.id);
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
			removed(targetId);
		}
	};

	return {
		onArrived: arrived.event,
		onDeparted: leaving.event,
		onUnreachable: unreached.event,
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
			if (unreachable.size === 0) {
				return list;
			}

			const nowMs = clock.nowMs();
			return list.filter(
				({entry}) => (unreachable.get(entry.id) ?? -Infinity) <= nowMs,
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
				...lingering.keys(),
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
				// A relay may have told of a later change than this read of the table.
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
			regainedMs = clock.nowMs();
			for (const targetId of lapsed.keys()) {
				lapsed.set(targetId, regainedMs + lapseGraceMs);
			}
		},
		markUnreachable(targetId) {
			const known = targets.get(targetId);
			if (!known) {
				return;
			}

			unreachable.set(targetId, clock.nowMs() + options.unreachableMs);
			unreached.fire(known.entry);
		},
		markReachable(targetId) {
			unreachable.delete(targetId);
		},
		isUnreachable(targetId) {
			return unreachable.has(targetId);
		},
		markLeaving(targetId) {
			depart(targetId, 'draining');
		},
		markReplaced(targetId) {
			depart(targetId, 'misdirected');
		},
		tick() {
			const nowMs = clock.nowMs();
			for (const [targetId, untilMs] of lapsed) {
				if (nowMs >= untilMs) {
					depart(targetId, 'lapsed');
				}
			}

			for (const [address, untilMs] of lingering) {
				if (nowMs >= untilMs) {
					lingering.delete(address);
				}
			}
		},
	};
}
