import type {Logger} from '../../adapters/system/index.js';
import {
	type DeploymentConfiguration,
	type Disposable,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationState} from '../../decisions/serving/index.js';
import {decodeConfigurationInSlices} from '../../platform/index.js';

/** Where a configuration came from. */
export type ConfigurationSource = 'peer' | 'store';

/**
 * Decodes configurations in slices between which requests are served, and puts the valid ones into
 * force.
 */
export type ConfigurationLoader = Disposable & {
	/** Text of the newest configuration received, in force or not; undefined before the first. */
	readonly newestText: string | undefined;
	/**
	 * Decodes a configuration. If one is being decoded, that one is finished first; of those that arrive
	 * meanwhile only the last is decoded.
	 * @param rowVersion - version of the row in the store or, from a peer, of the table; a configuration
	 * older than the newest received one is ignored
	 */
	load(text: string, rowVersion: number, source: ConfigurationSource): void;
};

export type ConfigurationLoaderOptions = {
	readonly timers: Timers;
	readonly configuration: ConfigurationState;
	readonly logger: Logger;
};

type ReceivedConfiguration = {
	readonly text: string;
	readonly rowVersion: number;
	readonly source: ConfigurationSource;
};

export function createConfigurationLoader(
	options: ConfigurationLoaderOptions,
): ConfigurationLoader {
	const {timers, configuration, logger} = options;
	let newest: ReceivedConfiguration | undefined;
	let pending: ReceivedConfiguration | undefined;
	let isLoading = false;
	let nextSliceTimer: Disposable | undefined;

	const accept = (
		{rowVersion, source}: ReceivedConfiguration,
		decoded: DeploymentConfiguration | undefined,
	) => {
		const accepted = decoded !== undefined && configuration.accept(decoded);
		logger.info('configuration read', {
			version: decoded?.version ?? configuration.current?.version,
			rowVersion,
			source,
			accepted,
			routes: decoded?.routes.length,
		});
	};

	const refuse = (
		{rowVersion, source}: ReceivedConfiguration,
		error: unknown,
	) => {
		const {type, detail, field} = toProblem(error);
		logger.warn('configuration refused', {
			type,
			detail,
			field,
			rowVersion,
			source,
		});
	};

	const loadNext = () => {
		const received = pending;
		pending = undefined;
		isLoading = received !== undefined;
		if (!received) {
			return;
		}

		const slices = decodeConfigurationInSlices(
			received.text,
			configuration.current?.version ?? -Infinity,
		);
		const step = () => {
			try {
				const {done, value} = slices.next();
				if (done) {
					accept(received, value ?? undefined);
					loadNext();
				} else {
					nextSliceTimer = timers.after(0, step);
				}
			} catch (error) {
				refuse(received, error);
				loadNext();
			}
		};

		step();
	};

	return {
		get newestText() {
			return newest?.text;
		},
		load(text, rowVersion, source) {
			if (newest && rowVersion < newest.rowVersion) {
				return;
			}

			newest = {text, rowVersion, source};
			pending = newest;
			if (!isLoading) {
				loadNext();
			}
		},
		dispose() {
			nextSliceTimer?.dispose();
		},
	};
}
