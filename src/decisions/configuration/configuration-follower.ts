import {createEmitter, type Event} from '../../common/index.js';
import {applyChange, emptyConfiguration} from './fleet-configuration.js';
import type {ConfigurationChange, FleetConfiguration} from './types.js';

/** The configuration in force on one entry VM. Its version never goes down. */
export type ConfigurationFollower = {
	readonly current: FleetConfiguration;
	/** False until the table service was read once; a peer may lag behind what was in force before. */
	readonly confirmed: boolean;
	readonly onChange: Event<FleetConfiguration>;
	/**
	 * Takes changes from the table service or from a peer; older and out-of-order ones are ignored.
	 * @param source - who delivered them
	 */
	offer(
		changes: readonly ConfigurationChange[],
		source: 'table' | 'peer',
	): void;
	/** Recent changes, for peers that ask. */
	changesAfter(version: number): readonly ConfigurationChange[];
};

const keptChanges = 64;

/** Creates a follower that starts without a configuration. */
export function createConfigurationFollower(): ConfigurationFollower {
	const emitter = createEmitter<FleetConfiguration>();
	const recent: ConfigurationChange[] = [];
	let current = emptyConfiguration;
	let confirmed = false;
	return {
		get current() {
			return current;
		},
		get confirmed() {
			return confirmed;
		},
		onChange: emitter.event,
		offer(changes, source) {
			const before = current.version;
			for (const change of changes) {
				if (change.version === current.version + 1) {
					current = applyChange(current, change);
					recent.push(change);
				}
			}

			recent.splice(0, Math.max(0, recent.length - keptChanges));
			confirmed ||= source === 'table';
			if (current.version !== before) {
				emitter.fire(current);
			}
		},
		changesAfter(version) {
			return recent.filter((change) => change.version > version);
		},
	};
}
