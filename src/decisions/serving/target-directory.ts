import {
	compareRevisions,
	createEmitter,
	isNewerRevision,
	type StoreRevision,
	type TargetEntry,
} from '../../common/index.js';
import type {
	Departure,
	DepartureReason,
	KnownTarget,
	TargetDirectory,
	TargetDirectoryOptions,
	TargetRow,
} from './target-directory-types.js';
import {
	createTargetRowHistory,
	type HeldDeparture,
} from './target-row-history.js';

export type * from './target-directory-types.js';

/** Creates a directory without targets. */
export function createTargetDirectory(
	options: TargetDirectoryOptions,
): TargetDirectory {
	const {clock, lapseGraceMs, lingerMs} = options;
	const arrived = createEmitter<TargetEntry>();
	const departed = createEmitter<Departure>();
	const becameUnreachable = createEmitter<TargetEntry>();
	const targets = new Map<string, KnownTarget>();
	const history = createTargetRowHistory(clock);
	/** Era of the newest snapshot. */
	let era = -1;
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
			history.recordDeparture(targetId, known.entry.bornMs);
			unreachableUntilMs.delete(targetId);
			byService = undefined;
			lingeringUntilMs.set(known.entry.address, clock.nowMs() + lingerMs);
			departed.fire({entry: known.entry, reason});
		}
	};

	/** Keeps a target without an entry for the time in which it can write the entry again. */
	const lapse = (targetId: string) => {
		lapsedUntilMs.set(
			targetId,
			isStoreLost ? Infinity : clock.nowMs() + lapseGraceMs,
		);
	};

	const handleRemoval = (targetId: string) => {
		const nowMs = clock.nowMs();
		if (!targets.has(targetId)) {
			return;
		}

		// Heartbeats can't reach an unavailable store, so that entries lapse although their targets are alive.
		if (isStoreLost) {
			lapse(targetId);
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
			history.recordDeparture(entry.id, entry.bornMs);
			return;
		}

		history.recordArrival(entry.id);
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
		revision: StoreRevision,
		isInvalid = false,
	) => {
		if (!isNewerRevision(revision, history.knownAt(targetId))) {
			return;
		}

		history.record(targetId, revision, revision);
		if (isInvalid) {
			// Unlike a removal, this is no effect of a store that was unavailable.
			depart(targetId, 'invalid-row');
		} else if (!entry) {
			handleRemoval(targetId);
		} else if (history.mayReturn(entry, revision)) {
			arrive(entry);
		}
	};

	const handleMissing = (
		targetId: string,
		revision: StoreRevision,
		isNewEra: boolean,
	) => {
		if (!isNewEra) {
			set(targetId, undefined, revision);
		} else if (isNewerRevision(revision, history.knownAt(targetId))) {
			history.record(targetId, revision, history.writtenAt(targetId));
			lapse(targetId);
		}
	};

	const isEarlierIncarnation = ({id, bornMs = 0}: TargetEntry) =>
		bornMs < (targets.get(id)?.entry.bornMs ?? 0);

	const reset = (
		rows: ReadonlyMap<string, TargetRow>,
		revision: StoreRevision,
	) => {
		if (revision.era < era) {
			return;
		}

		const isNewEra = era >= 0 && revision.era > era;
		era = revision.era;
		if (isNewEra) {
			history.startEra(revision);
		}

		for (const targetId of targets.keys()) {
			if (!rows.has(targetId)) {
				handleMissing(targetId, revision, isNewEra);
			}
		}

		for (const [targetId, row] of rows) {
			// A row relayed by another VM may be newer than this snapshot.
			if (compareRevisions(history.knownAt(targetId), revision) > 0) {
				continue;
			}

			const {entry} = row;
			if (!entry) {
				set(targetId, undefined, revision, true);
			} else if (isNewEra && isEarlierIncarnation(entry)) {
				handleMissing(targetId, revision, isNewEra);
				const {bornMs} = entry;
				history.hold({targetId, bornMs, returnAfter: revision});
			} else {
				if (history.mayReturn(entry, row.revision)) {
					arrive(entry);
				}

				history.record(targetId, revision, row.revision);
			}
		}
	};

	const applyDeparture = (departure: HeldDeparture) => {
		const {targetId, returnAfter} = departure;
		if (isNewerRevision(history.writtenAt(targetId), returnAfter)) {
			return;
		}

		history.hold(departure);
		const known = targets.get(targetId);
		if (known && !history.mayReturn(known.entry, history.writtenAt(targetId))) {
			depart(targetId, 'removed');
			history.hold(departure);
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
		rows() {
			return [...targets.values()].map(({entry}) => ({
				entry,
				revision: history.writtenAt(entry.id),
			}));
		},
		addresses() {
			return new Set([
				...[...targets.values()].map((known) => known.entry.address),
				...lingeringUntilMs.keys(),
			]);
		},
		set,
		reset,
		heldDepartures: history.heldDepartures,
		applyDepartures(departures) {
			for (const departure of departures) {
				applyDeparture(departure);
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

			history.sweep((targetId) => targets.has(targetId));
		},
	};
}
