import {createEmitter, type Event} from '../../common/index.js';
import {checkChange} from './configuration-codec.js';
import {applyChange, emptyConfiguration} from './fleet-configuration.js';
import type {
	ConfigurationChange,
	ConfigurationCheck,
	FleetConfiguration,
} from './types.js';

/** Who delivered changes; `table-page` is a page after which more follow. */
export type ChangeSource = 'table' | 'table-page' | 'peer';

/** The configuration in force on one entry VM. Its version never goes down. */
export type ConfigurationFollower = {
	readonly current: FleetConfiguration;
	/** Latest version that was read from the table service itself. */
	readonly tableVersion: number;
	/** False until the table service was read once; a peer may lag behind what was in force before. */
	readonly isCaughtUp: boolean;
	/** Whether changes of peers are taken: once confirmed, or when a version is required. */
	readonly acceptsPeerChanges: boolean;
	/** Changes of peers that the table service turned out not to have. */
	readonly mismatchCount: number;
	readonly onChange: Event<FleetConfiguration>;
	/**
	 * Takes changes from the table service or from a peer; older and out-of-order ones are ignored.
	 * Those of a peer hold until the table service shows them as well.
	 * @param source - who delivered them
	 */
	offer(changes: readonly ConfigurationChange[], source: ChangeSource): void;
	/** Takes a whole configuration from the table service. */
	offerSnapshot(configuration: FleetConfiguration): void;
	/**
	 * Names the version that the table service has but cannot show whole. An unconfirmed follower
	 * is confirmed when peers have led it there, since a lower version would be a step back.
	 */
	requireVersion(version: number): void;
	/** Recent changes, for peers that ask. */
	changesAfter(version: number): readonly ConfigurationChange[];
};

const keptChanges = 64;

/**
 * Creates a follower that starts without a configuration.
 * @param omittedChecks - checks left out; for tests only
 */
export function createConfigurationFollower(
	omittedChecks?: ReadonlySet<ConfigurationCheck>,
): ConfigurationFollower {
	const emitter = createEmitter<FleetConfiguration>();
	const recent = new Map<number, ConfigurationChange>();
	let current = emptyConfiguration;
	let verified = emptyConfiguration;
	let confirmed = false;
	let requiredVersion: number | undefined;
	let differs = false;
	let mismatchCount = 0;

	const remember = (change: ConfigurationChange) => {
		recent.set(change.version, change);
		recent.delete(change.version - keptChanges);
	};

	/** Puts the table's configuration in force unless a peer has shown a higher version. */
	const adoptVerified = () => {
		if (
			verified.version > current.version ||
			(verified.version === current.version && differs) ||
			omittedChecks?.has('version-only-rises')
		) {
			current = verified;
			differs = false;
		}
	};

	const offerVerified = (change: ConfigurationChange) => {
		if (change.version === verified.version + 1) {
			verified = applyChange(verified, change);
			const taken = recent.get(change.version);
			if (
				taken &&
				change.version <= current.version &&
				JSON.stringify(taken) !== JSON.stringify(change)
			) {
				mismatchCount++;
				differs = true;
			}

			remember(change);
			adoptVerified();
		} else if (change.version === current.version + 1) {
			current = applyChange(current, change);
			remember(change);
		}
	};

	const offerUnverified = (given: ConfigurationChange) => {
		if (given.version === current.version + 1) {
			const change = checkChange(given);
			current = applyChange(current, change);
			remember(change);
		}
	};

	const acceptsPeers = () =>
		confirmed ||
		requiredVersion !== undefined ||
		Boolean(omittedChecks?.has('table-confirms'));

	const confirmIfReached = () => {
		confirmed ||=
			(requiredVersion !== undefined && current.version >= requiredVersion) ||
			Boolean(omittedChecks?.has('table-confirms'));
	};

	const fireIfChanged = (before: FleetConfiguration) => {
		if (current !== before) {
			emitter.fire(current);
		}
	};

	return {
		get current() {
			return current;
		},
		get tableVersion() {
			return verified.version;
		},
		get isCaughtUp() {
			return confirmed;
		},
		get acceptsPeerChanges() {
			return acceptsPeers();
		},
		get mismatchCount() {
			return mismatchCount;
		},
		onChange: emitter.event,
		offer(changes, source) {
			const before = current;
			if (source === 'peer') {
				if (acceptsPeers()) {
					for (const change of changes) {
						offerUnverified(change);
					}

					confirmIfReached();
				}
			} else {
				for (const change of changes) {
					offerVerified(change);
				}

				confirmed ||= source === 'table';
			}

			fireIfChanged(before);
		},
		offerSnapshot(configuration) {
			const before = current;
			if (configuration.version > verified.version) {
				verified = configuration;
				adoptVerified();
			}

			fireIfChanged(before);
		},
		requireVersion(version) {
			requiredVersion = Math.max(requiredVersion ?? 0, version);
			confirmIfReached();
		},
		changesAfter(version) {
			const changes: ConfigurationChange[] = [];
			for (let next = version + 1; recent.has(next); next++) {
				changes.push(recent.get(next)!);
			}

			return changes;
		},
	};
}
