import {createEmitter, type Event} from '../../common/index.js';
import {checkChange} from './configuration-codec.js';
import {applyChange, emptyConfiguration} from './fleet-configuration.js';
import type {
	ConfigurationChange,
	ConfigurationCheck,
	FleetConfiguration,
} from './types.js';

/**
 * Origin of changes: a peer, or the table service. `table` reaches the end of the history, `table-page` does not:
 * more rows follow or a row is corrupt.
 */
export type ChangeSource = 'table' | 'table-page' | 'peer';

/** The configuration in force on one entry VM. Its version never decreases. */
export type ConfigurationFollower = {
	readonly current: FleetConfiguration;
	/** Latest version read from the table service, as opposed to received from a peer. */
	readonly tableVersion: number;
	/**
	 * False until the current version is known not to be lower than the one that was in force before a restart:
	 * the table service has been read to the end, or peers have delivered the required version.
	 */
	readonly isCaughtUp: boolean;
	/** Whether changes from peers are applied: once caught up, or when a version is required. */
	readonly acceptsPeerChanges: boolean;
	/** Number of changes from peers that differed from those of the table service. */
	readonly mismatchCount: number;
	readonly onChange: Event<FleetConfiguration>;
	/**
	 * Applies changes from the table service or a peer that directly follow the current version; others are
	 * ignored. A change from a peer is replaced if a change from the table service of the same version differs.
	 */
	offer(changes: readonly ConfigurationChange[], source: ChangeSource): void;
	/** Applies a whole configuration from the table service. */
	offerSnapshot(configuration: FleetConfiguration): void;
	/**
	 * Sets the version that the table service has but cannot deliver completely, because a row is corrupt. A
	 * follower that isn't caught up is so once peers have delivered this version; a lower one could be older than
	 * the configuration that was in force before.
	 */
	requireVersion(version: number): void;
	/** Recent changes after a version, in order, for peers that request them. */
	changesAfter(version: number): readonly ConfigurationChange[];
};

const keptChangeCount = 64;

/**
 * Creates a follower that starts with the empty configuration.
 * @param omittedChecks - safety checks that are disabled; for tests only
 */
export function createConfigurationFollower(
	omittedChecks?: ReadonlySet<ConfigurationCheck>,
): ConfigurationFollower {
	const emitter = createEmitter<FleetConfiguration>();
	const recent = new Map<number, ConfigurationChange>();
	let current = emptyConfiguration;
	let tableConfiguration = emptyConfiguration;
	let isCaughtUp = false;
	let requiredVersion: number | undefined;
	let peerDiffers = false;
	let mismatchCount = 0;

	const remember = (change: ConfigurationChange) => {
		recent.set(change.version, change);
		recent.delete(change.version - keptChangeCount);
	};

	// Puts the table service's configuration in force unless a peer has delivered a higher version.
	const adoptTableConfiguration = () => {
		if (
			tableConfiguration.version > current.version ||
			(tableConfiguration.version === current.version && peerDiffers) ||
			omittedChecks?.has('version-only-rises')
		) {
			current = tableConfiguration;
			peerDiffers = false;
		}
	};

	const applyFromTable = (change: ConfigurationChange) => {
		if (change.version === tableConfiguration.version + 1) {
			tableConfiguration = applyChange(tableConfiguration, change);
			const previous = recent.get(change.version);
			if (
				previous &&
				change.version <= current.version &&
				JSON.stringify(previous) !== JSON.stringify(change)
			) {
				mismatchCount++;
				peerDiffers = true;
			}

			remember(change);
			adoptTableConfiguration();
		} else if (change.version === current.version + 1) {
			current = applyChange(current, change);
			remember(change);
		}
	};

	const applyFromPeer = (input: ConfigurationChange) => {
		if (input.version === current.version + 1) {
			const change = checkChange(input);
			current = applyChange(current, change);
			remember(change);
		}
	};

	const acceptsPeerChanges = () =>
		isCaughtUp ||
		requiredVersion !== undefined ||
		Boolean(omittedChecks?.has('table-confirms'));

	const catchUpIfReached = () => {
		isCaughtUp ||=
			(requiredVersion !== undefined && current.version >= requiredVersion) ||
			Boolean(omittedChecks?.has('table-confirms'));
	};

	const fireIfChanged = (previousConfiguration: FleetConfiguration) => {
		if (current !== previousConfiguration) {
			emitter.fire(current);
		}
	};

	return {
		get current() {
			return current;
		},
		get tableVersion() {
			return tableConfiguration.version;
		},
		get isCaughtUp() {
			return isCaughtUp;
		},
		get acceptsPeerChanges() {
			return acceptsPeerChanges();
		},
		get mismatchCount() {
			return mismatchCount;
		},
		onChange: emitter.event,
		offer(changes, source) {
			const previousConfiguration = current;
			if (source === 'peer') {
				if (acceptsPeerChanges()) {
					for (const change of changes) {
						applyFromPeer(change);
					}

					catchUpIfReached();
				}
			} else {
				for (const change of changes) {
					applyFromTable(change);
				}

				isCaughtUp ||= source === 'table';
			}

			fireIfChanged(previousConfiguration);
		},
		offerSnapshot(configuration) {
			const previousConfiguration = current;
			if (configuration.version > tableConfiguration.version) {
				tableConfiguration = configuration;
				adoptTableConfiguration();
			}

			fireIfChanged(previousConfiguration);
		},
		requireVersion(version) {
			requiredVersion = Math.max(requiredVersion ?? 0, version);
			catchUpIfReached();
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
