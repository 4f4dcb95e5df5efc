import {
	createEmitter,
	type DeploymentConfiguration,
	type Event,
} from '../../common/index.js';

/** The configuration in force on this VM. */
export type ConfigurationState = {
	readonly current: DeploymentConfiguration | undefined;
	readonly onChanged: Event<DeploymentConfiguration>;
	/**
	 * Takes a version over if it is newer than the one in force, since reads may be stale.
	 * @returns false if it is not newer
	 */
	accept(configuration: DeploymentConfiguration): boolean;
};

/** Creates a state without a configuration. */
export function createConfigurationState(): ConfigurationState {
	const changed = createEmitter<DeploymentConfiguration>();
	let current: DeploymentConfiguration | undefined;
	return {
		get current() {
			return current;
		},
		onChanged: changed.event,
		accept(configuration) {
			if (current && configuration.version <= current.version) {
				return false;
			}

			current = configuration;
			changed.fire(configuration);
			return true;
		},
	};
}
