import {type Clock, createEmitter, type Event} from '../../common/index.js';
import type {TableSyncState} from './types.js';

/**
 * Tracks up to which version this VM has the changes of a store table, and when the store last confirmed
 * that. Confirmations come from own reads and from VMs that relay what they read.
 */
export type TableSyncTracker = {
	/** Version up to which this VM has every change; 0 while it has no table. */
	readonly version: number;
	/** Time since the last confirmation, in milliseconds; Infinity before the first. */
	readonly ageMs: number;
	readonly state: TableSyncState;
	/** Fires when a newer confirmation arrives. */
	readonly onConfirmed: Event<void>;
	/**
	 * Records a successful read of the store by this VM.
	 * @param version - version up to which this VM now has every change
	 * @param changeVersion - version of the newest change in the response
	 */
	recordRead(version: number, changeVersion: number): void;
	/**
	 * Records changes relayed by a VM that reads the store.
	 * @param afterVersion - version up to which this VM must already have every change
	 * @param version - version of the newest relayed change
	 * @returns false, without effect, if earlier changes are missing or this VM has no table yet
	 */
	recordRelayedChanges(afterVersion: number, version: number): boolean;
	/**
	 * Records the state that another VM reports; it confirms the state of this VM only if the other VM has
	 * all changes that this one has.
	 * @returns false if this VM lacks changes that the other one has, or has no table yet
	 */
	recordPeerState(state: TableSyncState): boolean;
	/** Sets the version after a copy of a peer's table; this does not count as a confirmation. */
	adoptVersion(version: number): void;
};

/** Creates the tracker of a table that has not been read. */
export function createTableSyncTracker(clock: Clock): TableSyncTracker {
	let version = 0;
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

	return {
		onConfirmed: confirmed.event,
		get version() {
			return version;
		},
		get ageMs() {
			return clock.nowMs() - confirmedMs;
		},
		get state() {
			return {version, changeVersion, ageMs: clock.nowMs() - confirmedMs};
		},
		recordRead(readVersion, readChangeVersion) {
			version = Math.max(version, readVersion);
			changeVersion = Math.max(changeVersion, readChangeVersion);
			hasTable = true;
			confirm(clock.nowMs());
		},
		recordRelayedChanges(afterVersion, relayedVersion) {
			if (!hasTable || version < afterVersion) {
				return false;
			}

			version = Math.max(version, relayedVersion);
			changeVersion = Math.max(changeVersion, relayedVersion);
			confirm(clock.nowMs());
			return true;
		},
		recordPeerState(peer) {
			if (!hasTable || version < peer.changeVersion) {
				return false;
			}

			// A peer that lacks the newest change known here cannot confirm that it is the newest one.
			if (peer.version >= changeVersion) {
				version = Math.max(version, peer.version);
				confirm(clock.nowMs() - peer.ageMs);
			}

			return true;
		},
		adoptVersion(adoptedVersion) {
			version = Math.max(version, adoptedVersion);
			changeVersion = Math.max(changeVersion, adoptedVersion);
			hasTable = true;
		},
	};
}
