import type {Logger} from '../../adapters/system/index.js';
import {
	type DeploymentConfiguration,
	type Disposable,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationState} from '../../decisions/serving/index.js';
import {decodeConfigurationInSlices} from '../../platform/index.js';

/** Takes configurations over without holding up requests. */
export type ConfigurationLoader = Disposable & {
	/** Text of the configuration in force; undefined before the first. */
	readonly text: string | undefined;
	/**
	 * A configuration was read. If one is being decoded, it is finished first, and of those that come
	 * meanwhile only the last is decoded.
	 * @param source - version of the row, or `peer`
	 */
	load(text: string, source: number | 'peer'): void;
};

/** What a loader works with. */
export type ConfigurationLoaderOptions = {
	readonly timers: Timers;
	readonly configuration: ConfigurationState;
	readonly logger: Logger;
};

type Arrived = {readonly text: string; readonly source: number | 'peer'};

/** Creates a loader that has read nothing. */
export function createConfigurationLoader(
	options: ConfigurationLoaderOptions,
): ConfigurationLoader {
	const {timers, configuration, logger} = options;
	let textInForce: string | undefined;
	let next: Arrived | undefined;
	let isLoading = false;
	let pause: Disposable | undefined;

	const accept = (
		{text, source}: Arrived,
		decoded: DeploymentConfiguration | undefined,
	) => {
		const accepted = decoded !== undefined && configuration.accept(decoded);
		if (accepted) {
			textInForce = text;
		}

		logger.info('configuration read', {
			version: decoded?.version ?? configuration.current?.version,
			source,
			accepted,
			routes: decoded?.routes.length,
		});
	};

	const refuse = ({source}: Arrived, error: unknown) => {
		const {type, detail, field} = toProblem(error);
		logger.warn('configuration refused', {type, detail, field, source});
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
		get text() {
			return textInForce;
		},
		load(text, source) {
			next = {text, source};
			if (!isLoading) {
				loadNext();
			}
		},
		dispose() {
			pause?.dispose();
		},
	};
}
