import {
	createEmitter,
	type Disposable,
	type Event,
} from '../../common/index.js';

/** The evacuation of an availability zone has begun or ended. */
export type ZoneEvacuationChange = {
	readonly availabilityZone: string;
	readonly change: 'begins' | 'ends';
};

/** Availability zones whose targets must get no requests, as the operator has asked. */
export type EvacuatedZones = Disposable & {
	/** Fires once for each zone that `replace` adds or removes, after all of them are in force. */
	readonly onChanged: Event<ZoneEvacuationChange>;
	/** In ascending order. */
	readonly zones: readonly string[];
	isEvacuated(availabilityZone: string): boolean;
	/** Puts a new set of zones into force. */
	replace(zones: Iterable<string>): void;
};

/** Creates a set without zones. */
export function createEvacuatedZones(): EvacuatedZones {
	const changed = createEmitter<ZoneEvacuationChange>();
	let current: ReadonlySet<string> = new Set();

	const fire = (
		zones: Iterable<string>,
		without: ReadonlySet<string>,
		change: ZoneEvacuationChange['change'],
	) => {
		for (const availabilityZone of zones) {
			if (!without.has(availabilityZone)) {
				changed.fire({availabilityZone, change});
			}
		}
	};

	return {
		onChanged: changed.event,
		get zones() {
			return [...current].sort();
		},
		isEvacuated: (availabilityZone) => current.has(availabilityZone),
		replace(zones) {
			const previous = current;
			current = new Set(zones);
			fire(current, previous, 'begins');
			fire(previous, current, 'ends');
		},
		dispose() {
			changed.dispose();
		},
	};
}
