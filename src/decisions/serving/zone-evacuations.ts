import type {EvacuatedZones} from '../target-eligibility/index.js';

/** All availability zones that are evacuated as of a version of the operator's table. */
export type EvacuationList = {
	readonly zones: readonly string[];
	/** Version of the operator's table up to which the list includes every change. */
	readonly version: number;
};

/** The evacuation of a zone was requested, or its request was removed. */
export type EvacuationChange = {
	readonly availabilityZone: string;
	readonly isEvacuated: boolean;
	/** Version of the operator's table with this change. */
	readonly version: number;
};

/** Puts the newest known evacuations into force, whether read from the store or received from a peer. */
export type ZoneEvacuations = {
	/** The newest list; undefined while this VM has none. */
	readonly list: EvacuationList | undefined;
	/** Applies a complete list, unless a newer one is known. */
	applyList(list: EvacuationList): void;
	/**
	 * Applies changes that this VM has read from the store; those that the known list includes have no
	 * effect.
	 * @param version - version up to which `changes` are complete
	 */
	applyChanges(changes: readonly EvacuationChange[], version: number): void;
};

/**
 * Creates the state before the first list.
 * @param evacuatedZones - filled with the zones in force
 */
export function createZoneEvacuations(
	evacuatedZones: EvacuatedZones,
): ZoneEvacuations {
	let list: EvacuationList | undefined;

	const applyList = (next: EvacuationList) => {
		if (list && next.version < list.version) {
			return;
		}

		list = next;
		evacuatedZones.replace(next.zones);
	};

	return {
		get list() {
			return list;
		},
		applyList,
		applyChanges(changes, version) {
			const zones = new Set(list?.zones);
			const knownVersion = list?.version ?? -Infinity;
			for (const change of changes) {
				if (change.version > knownVersion && change.isEvacuated) {
					zones.add(change.availabilityZone);
				} else if (change.version > knownVersion) {
					zones.delete(change.availabilityZone);
				}
			}

			applyList({zones: [...zones], version});
		},
	};
}
