/**
 * State of the store at some moment. The store raises its era by one each time it is restored from an older
 * copy; its version counts transactions, goes back with the copy, and is then issued again.
 */
export type StoreRevision = {
	/** 0 for a store that has never been restored. */
	readonly era: number;
	/** Value of the global transaction counter. */
	readonly version: number;
};

/** Creates a revision. */
export const storeRevision = (version: number, era = 0): StoreRevision => ({
	era,
	version,
});

/** Precedes every revision that a store can have. */
export const revisionBeforeAll: StoreRevision = storeRevision(-1);

/** @returns a negative number if `left` is older than `right`, 0 if they are equal, otherwise a positive one */
export function compareRevisions(
	left: StoreRevision,
	right: StoreRevision,
): number {
	return left.era === right.era
		? left.version - right.version
		: left.era - right.era;
}

/** @returns true if `revision` is newer than `than` */
export function isNewerRevision(
	revision: StoreRevision,
	than: StoreRevision,
): boolean {
	return compareRevisions(revision, than) > 0;
}

/** @returns the newer one of two revisions */
export function newerRevision(
	left: StoreRevision,
	right: StoreRevision,
): StoreRevision {
	return isNewerRevision(right, left) ? right : left;
}
