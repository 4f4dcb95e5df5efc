import type {Logger} from '../../adapters/system/index.js';
import {
	type DeploymentConfiguration,
	type Disposable,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationState} from '../../decisions/serving/index.js';
import {decodeConfigurationInSlices} from '../../platform/index.js';

/** Who has told of a configuration. */
export type ConfigurationSource = 'peer' | 'store';

/** Takes configurations over without holding up requests. */
export type ConfigurationLoader = Disposable & {
	/** Newest text that arrived, in force or not; undefined before the first. */
	readonly newestText: string | undefined;
	/**
	 * A configuration was read. If one is being decoded, it is finished first, and of those that come
	 * meanwhile only the last is decoded.
	 * @param rowVersion - an older one than that of the newest text is left out
	 */
	load(text: string, rowVersion: number, source: ConfigurationSource): void;
};

/** What a loader works with. */
export type ConfigurationLoaderOptions = {
	readonly timers: Timers;
	readonly configuration: ConfigurationState;
	readonly logger: Logger;
};

type Arrived = {
	readonly text: string;
	readonly rowVersion: number;
	readonly source: ConfigurationSource;
};

/** Creates a loader that has read nothing. */
export function createConfigurationLoader(
	options: ConfigurationLoaderOptions,
): ConfigurationLoader {
	const {timers, configuration, logger} = options;
	let newest: Arrived | undefined;
	let next: Arrived | undefined;
	let isLoading = false;
	let pause: Disposable | undefined;

	const accept = (
		{rowVersion, source}: Arrived,
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

	const refuse = ({rowVersion, source}: Arrived, error: unknown) => {
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
		const arrived = next;
		next = undefined;
		isLoading = arrived !== undefined;
		if (!arrived) {
			return;
		}

		const slices = decodeConfigurationInSlices(
			arrived.text,
			configuration.current?.version ?? -Infinity,
		);
		const step = () => {
			try {
				const {done, value} = slices.next();
				if (done) {
					accept(arrived, value ?? undefined);
					loadNext();
				} else {
					pause = timers.after(0, step);
				}
			} catch (error) {
				refuse(arrived, error);
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
			next = newest;
			if (!isLoading) {
				loadNext();
			}
		},
		dispose() {
			pause?.dispose();
		},
	};
}
