import {
	createEmitter,
	type DeploymentConfiguration,
	type Event,
} from '../../common/index.js';

/** The configuration in force on this VM. */
export type ConfigurationState = {
	/** Undefined until the first version is accepted. */
	readonly current: DeploymentConfiguration | undefined;
	readonly onChanged: Event<DeploymentConfiguration>;
	/**
	 * Activates a version unless it is older than or the same as the current one, as a
	 * stale read may return.
	 * @returns false if the version was ignored
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
