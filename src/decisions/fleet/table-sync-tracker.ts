import {type Clock, createEmitter, type Event} from '../../common/index.js';
import type {TableSyncState} from './types.js';

/** What this VM knows of a table of the store, and since when that is confirmed. */
export type TableSyncTracker = {
	/** Version up to which every change is known; 0 before the first read. */
	readonly version: number;
	/** Time since the store, or a VM that reads it, confirmed this; Infinity before. */
	readonly ageMs: number;
	readonly state: TableSyncState;
	/** What is known was confirmed anew. */
	readonly onConfirmed: Event<void>;
	/**
	 * This VM has read the store.
	 * @param version - version up to which every change is known now
	 * @param changeVersion - newest change, as far as the read tells
	 */
	recordRead(version: number, changeVersion: number): void;
	/**
	 * A VM that reads the store has told of changes.
	 * @param afterVersion - version up to which every change must be known already
	 * @returns false if changes before them are missing
	 */
	recordRelayedChanges(afterVersion: number, version: number): boolean;
	/**
	 * A VM has told how far it is.
	 * @returns false if changes are missing here
	 */
	recordPeerState(mark: TableSyncState): boolean;
	/** Takes over what another VM knows, without a confirmation. */
	adoptVersion(version: number): void;
};

/** Creates a belief that knows nothing. */
export function createTableSyncTracker(clock: Clock): TableSyncTracker {
	let version = 0;
	let changeVersion = 0;
	let confirmedMs = -Infinity;
	/** A table that was read and has never changed is at version 0, too. */
	let isKnown = false;

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
			isKnown = true;
			confirm(clock.nowMs());
		},
		recordRelayedChanges(afterVersion, toldVersion) {
			if (!isKnown || version < afterVersion) {
				return false;
			}

			version = Math.max(version, toldVersion);
			changeVersion = Math.max(changeVersion, toldVersion);
			confirm(clock.nowMs());
			return true;
		},
		recordPeerState(mark) {
			if (!isKnown || version < mark.changeVersion) {
				return false;
			}

			// A VM that has not seen the newest change known here confirms nothing.
			if (mark.version >= changeVersion) {
				version = Math.max(version, mark.version);
				confirm(clock.nowMs() - mark.ageMs);
			}

			return true;
		},
		adoptVersion(adoptedVersion) {
			version = Math.max(version, adoptedVersion);
			changeVersion = Math.max(changeVersion, adoptedVersion);
			isKnown = true;
		},
	};
}
