import {
	type Clock,
	compareRevisions,
	createEmitter,
	type Event,
	type StoreRevision,
	storeRevision,
} from '../../common/index.js';
import type {TableSyncState} from './types.js';

/**
 * Tracks up to which revision this VM has the changes of a store table, and when the store last confirmed
 * that. Confirmations come from own reads and from VMs that relay what they read. Only the whole table
 * leads into a newer era of the store, since its changes do not tell what the older copy lacks.
 */
export type TableSyncTracker = {
	/** Revision up to which this VM has every change; version 0 while it has no table. */
	readonly revision: StoreRevision;
	/** Time since the last confirmation, in milliseconds; Infinity before the first. */
	readonly ageMs: number;
	readonly state: TableSyncState;
	/** Fires when a newer confirmation arrives. */
	readonly onConfirmed: Event<void>;
	/** Records a read of the whole table by this VM; without effect if a newer revision is known. */
	recordSnapshot(revision: StoreRevision): void;
	/**
	 * Records a read of changes by this VM; without effect if it is of another era than the known state.
	 * @param revision - revision up to which this VM now has every change
	 * @param changeVersion - version of the newest change in the response
	 */
	recordChanges(revision: StoreRevision, changeVersion: number): void;
	/**
	 * Records changes relayed by a VM that reads the store; those of an older era have no effect.
	 * @param after - revision up to which this VM must already have every change
	 * @param revision - revision of the newest relayed change
	 * @returns false, without effect, if earlier changes are missing or this VM has no table of this era yet
	 */
	recordRelayedChanges(after: StoreRevision, revision: StoreRevision): boolean;
	/**
	 * Records the state that another VM reports; it confirms the state of this VM only if the other VM has
	 * all changes that this one has.
	 * @returns false if this VM lacks changes that the other one has, or has no table yet
	 */
	recordPeerState(state: TableSyncState): boolean;
	/** Sets the revision after a copy of a peer's table; this does not count as a confirmation. */
	adoptRevision(revision: StoreRevision): void;
};

/** @returns revision of the newest change that a VM in this state has */
export const newestRevisionOf = (state: TableSyncState): StoreRevision => ({
	era: state.revision.era,
	version: state.changeVersion,
});

/** Creates the tracker of a table that has not been read. */
export function createTableSyncTracker(clock: Clock): TableSyncTracker {
	let revision = storeRevision(0);
	let changeVersion = 0;
	let confirmedMs = -Infinity;
	/** Separate from the version, since a table that was read but has never changed is at version 0 too. */
	let hasTable = false;

	const confirmed = createEmitter<void>();

	const confirm = (atMs: number) => {
		if (atMs > confirmedMs) {
			confirmedMs = atMs;
			confirmed.fire();
		}
	};

	/** Advances within the era, or starts anew in a newer one. */
	const advance = (to: StoreRevision, toChangeVersion: number) => {
		const isNewEra = to.era > revision.era;
		changeVersion = Math.max(isNewEra ? 0 : changeVersion, toChangeVersion);
		if (compareRevisions(to, revision) > 0) {
			revision = to;
		}
	};

	return {
		onConfirmed: confirmed.event,
		get revision() {
			return revision;
		},
		get ageMs() {
			return clock.nowMs() - confirmedMs;
		},
		get state() {
			return {revision, changeVersion, ageMs: clock.nowMs() - confirmedMs};
		},
		recordSnapshot(readRevision) {
			if (compareRevisions(readRevision, revision) >= 0) {
				hasTable = true;
				advance(readRevision, readRevision.version);
				confirm(clock.nowMs());
			}
		},
		recordChanges(readRevision, readChangeVersion) {
			if (readRevision.era === revision.era) {
				advance(readRevision, readChangeVersion);
				confirm(clock.nowMs());
			}
		},
		recordRelayedChanges(after, relayedRevision) {
			if (hasTable && relayedRevision.era < revision.era) {
				return true;
			}

			if (
				!hasTable ||
				relayedRevision.era > revision.era ||
				compareRevisions(revision, after) < 0
			) {
				return false;
			}

			advance(relayedRevision, relayedRevision.version);
			confirm(clock.nowMs());
			return true;
		},
		recordPeerState(peer) {
			const {era, version} = peer.revision;
			if (hasTable && era < revision.era) {
				return true;
			}

			if (
				!hasTable ||
				era > revision.era ||
				revision.version < peer.changeVersion
			) {
				return false;
			}

			// A peer that lacks the newest change known here cannot confirm that it is the newest one.
			if (version >= changeVersion) {
				advance(peer.revision, 0);
				confirm(clock.nowMs() - peer.ageMs);
			}

			return true;
		},
		adoptRevision(adopted) {
			if (adopted.era >= revision.era) {
				hasTable = true;
				advance(adopted, adopted.version);
			}
		},
	};
}
