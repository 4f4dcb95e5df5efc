import {
	type Clock,
	isNewerRevision,
	revisionBeforeAll,
	type StoreRevision,
	type TargetEntry,
} from '../../common/index.js';

/**
 * A target that had left when the store returned from an older copy. A row of the copy does not bring it
 * back.
 */
export type HeldDeparture = {
	readonly targetId: string;
	/** Start time of the incarnation that left; undefined if the target does not state it. */
	readonly bornMs: number | undefined;
	/** Only a row that was written after this revision brings the target back. */
	readonly returnAfter: StoreRevision;
};

/** What is known of the rows of each target, present or not. */
export type TargetRowHistory = {
	/** Revision up to which the state of the target is known; precedes all others if it is not known. */
	knownAt(targetId: string): StoreRevision;
	/** Revision of the newest row of the target that was applied. */
	writtenAt(targetId: string): StoreRevision;
	record(
		targetId: string,
		knownAt: StoreRevision,
		writtenAt: StoreRevision,
	): void;
	recordDeparture(targetId: string, bornMs: number | undefined): void;
	recordArrival(targetId: string): void;
	/** Called with the first snapshot of an era: holds all departures of earlier eras. */
	startEra(snapshot: StoreRevision): void;
	/** Adds a departure that another VM holds. */
	hold(departure: HeldDeparture): void;
	/** @returns false for a row of a target that has left which may be from the older copy */
	mayReturn(entry: TargetEntry, writtenAt: StoreRevision): boolean;
	/** Departures that are held in the present era, for VMs that start from the older copy. */
	heldDepartures(): readonly HeldDeparture[];
	/** Removes targets that are not present and of which nothing was heard for a long time. */
	sweep(isPresent: (targetId: string) => boolean): void;
};

type RowRecord = {
	knownAt: StoreRevision;
	writtenAt: StoreRevision;
	updatedMs: number;
	departure?: {
		readonly bornMs: number | undefined;
		returnAfter: StoreRevision | undefined;
	};
};

/** Time after which a departure is forgotten, in milliseconds; copies of the store are some seconds old. */
const retentionMs = 120_000;

/** @returns true if `bornMs` is of the same incarnation as `departedMs` or of an earlier one */
const isNoNewerIncarnation = (
	bornMs: number | undefined,
	departedMs: number | undefined,
) => bornMs === departedMs || (bornMs ?? 0) < (departedMs ?? 0);

export function createTargetRowHistory(clock: Clock): TargetRowHistory {
	const records = new Map<string, RowRecord>();

	const recordOf = (targetId: string): RowRecord => {
		let found = records.get(targetId);
		if (!found) {
			found = {
				knownAt: revisionBeforeAll,
				writtenAt: revisionBeforeAll,
				updatedMs: 0,
			};
			records.set(targetId, found);
		}

		found.updatedMs = clock.nowMs();
		return found;
	};

	return {
		knownAt: (targetId) => records.get(targetId)?.knownAt ?? revisionBeforeAll,
		writtenAt: (targetId) =>
			records.get(targetId)?.writtenAt ?? revisionBeforeAll,
		record(targetId, knownAt, writtenAt) {
			Object.assign(recordOf(targetId), {knownAt, writtenAt});
		},
		recordDeparture(targetId, bornMs) {
			const record = recordOf(targetId);
			const returnAfter = record.departure?.returnAfter;
			record.departure = {bornMs, returnAfter};
		},
		recordArrival(targetId) {
			recordOf(targetId).departure = undefined;
		},
		startEra(snapshot) {
			for (const {departure, knownAt} of records.values()) {
				if (departure && knownAt.era < snapshot.era) {
					departure.returnAfter = snapshot;
				}
			}
		},
		hold({targetId, bornMs, returnAfter}) {
			recordOf(targetId).departure = {bornMs, returnAfter};
		},
		mayReturn(entry, writtenAt) {
			const departure = records.get(entry.id)?.departure;
			return (
				departure?.returnAfter === undefined ||
				!isNoNewerIncarnation(entry.bornMs, departure.bornMs) ||
				isNewerRevision(writtenAt, departure.returnAfter)
			);
		},
		heldDepartures() {
			return [...records].flatMap(([targetId, {departure}]) =>
				departure?.returnAfter
					? {
							targetId,
							bornMs: departure.bornMs,
							returnAfter: departure.returnAfter,
						}
					: [],
			);
		},
		sweep(isPresent) {
			const oldestMs = clock.nowMs() - retentionMs;
			for (const [targetId, {updatedMs}] of records) {
				if (updatedMs < oldestMs && !isPresent(targetId)) {
					records.delete(targetId);
				}
			}
		},
	};
}
