import {
	type Clock,
	isNewerRevision,
	type StoreRevision,
} from '../../common/index.js';
import type {EvacuatedZones} from '../target-eligibility/index.js';

/** All availability zones that are evacuated as of a revision of the operator's table. */
export type EvacuationList = {
	/** Revision of the operator's table up to which the list includes every change. */
	readonly revision: StoreRevision;
	/** Zones whose evacuation the table requests. */
	readonly zones: readonly string[];
	/** Zones that were evacuated before the store returned from an older copy, which does not have them. */
	readonly held: readonly string[];
	/** Zones whose request was removed in the era of `revision`. */
	readonly removed: readonly string[];
};

/** The evacuation of a zone was requested, or its request was removed. */
export type EvacuationChange = {
	readonly availabilityZone: string;
	readonly isEvacuated: boolean;
	/** Revision of the operator's table with this change. */
	readonly revision: StoreRevision;
};

export type ZoneEvacuationsOptions = {
	readonly clock: Clock;
	/** Filled with the zones in force. */
	readonly evacuatedZones: EvacuatedZones;
};

/** Puts the newest known evacuations into force, whether read from the store or received from a peer. */
export type ZoneEvacuations = {
	/** The newest list; undefined while this VM has none. */
	readonly list: EvacuationList | undefined;
	/** Monotonic time at which `expire` is due, in milliseconds; Infinity if no zone is held. */
	readonly expiryMs: number;
	/**
	 * Applies a complete list, unless a newer one is known. Zones that are missing in the first list of an era
	 * are held; so are those that a list of an earlier era has beyond the known ones.
	 */
	applyList(list: EvacuationList): void;
	/**
	 * Applies changes that this VM has read from the store; those that the known list includes have no
	 * effect.
	 * @param revision - revision up to which `changes` are complete
	 */
	applyChanges(
		changes: readonly EvacuationChange[],
		revision: StoreRevision,
	): void;
	/** Ends the evacuations that were held for long enough. */
	expire(): void;
};

/**
 * Time for which an evacuated zone that an older copy of the store does not have stays evacuated, in
 * milliseconds: the time in which the operator writes again what the copy lacks.
 */
const holdMs = 10_000;

/** Creates the state before the first list. */
export function createZoneEvacuations(
	options: ZoneEvacuationsOptions,
): ZoneEvacuations {
	const {clock, evacuatedZones} = options;
	let revision: StoreRevision | undefined;
	let zones = new Set<string>();
	/** All held zones are held until the same time. */
	let held = new Set<string>();
	let removed = new Set<string>();
	let heldUntilMs = -Infinity;

	const hold = (candidates: Iterable<string>) => {
		if (clock.nowMs() >= heldUntilMs) {
			return;
		}

		for (const zone of candidates) {
			if (!zones.has(zone) && !removed.has(zone)) {
				held.add(zone);
			}
		}
	};

	const publish = () => {
		evacuatedZones.replace([...zones, ...held]);
	};

	const startEra = (list: EvacuationList) => {
		const before = [...zones, ...held];
		revision = list.revision;
		zones = new Set(list.zones);
		held = new Set();
		removed = new Set(list.removed);
		heldUntilMs = clock.nowMs() + holdMs;
		hold([...before, ...list.held]);
	};

	/** Applies a list of the known era. */
	const merge = (list: EvacuationList, known: StoreRevision) => {
		if (!isNewerRevision(known, list.revision)) {
			revision = list.revision;
			zones = new Set(list.zones);
		}

		for (const zone of list.removed) {
			removed.add(zone);
		}

		held = new Set(
			[...held].filter((zone) => !zones.has(zone) && !removed.has(zone)),
		);
		hold(list.held);
	};

	const applyChange = ({availabilityZone, isEvacuated}: EvacuationChange) => {
		held.delete(availabilityZone);
		if (isEvacuated) {
			zones.add(availabilityZone);
			removed.delete(availabilityZone);
		} else {
			zones.delete(availabilityZone);
			removed.add(availabilityZone);
		}
	};

	return {
		get list() {
			return (
				revision && {
					revision,
					zones: [...zones],
					held: [...held],
					removed: [...removed],
				}
			);
		},
		get expiryMs() {
			return held.size > 0 ? heldUntilMs : Infinity;
		},
		applyList(list) {
			if (!revision || list.revision.era > revision.era) {
				startEra(list);
			} else if (list.revision.era === revision.era) {
				merge(list, revision);
			} else {
				hold([...list.zones, ...list.held]);
			}

			publish();
		},
		applyChanges(changes, upTo) {
			if (upTo.era !== revision?.era) {
				return;
			}

			const known = revision;
			for (const change of changes) {
				if (isNewerRevision(change.revision, known)) {
					applyChange(change);
				}
			}

			revision = isNewerRevision(upTo, known) ? upTo : known;
			publish();
		},
		expire() {
			if (clock.nowMs() >= heldUntilMs) {
				held = new Set();
				publish();
			}
		},
	};
}
