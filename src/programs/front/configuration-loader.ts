import type {Logger} from '../../adapters/system/index.js';
import {
	type DeploymentConfiguration,
	type Disposable,
	type StoreRevision,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationState} from '../../decisions/serving/index.js';
import {
	decodeConfigurationInSlices,
	readConfigurationVersion,
} from '../../platform/index.js';

/** Where a configuration came from. */
export type ConfigurationSource = 'peer' | 'store';

/**
 * Decodes configurations in slices between which requests are served, and puts the valid ones into
 * force.
 */
export type ConfigurationLoader = Disposable & {
	/**
	 * Text of the configuration with the highest operator's version of those received and not refused;
	 * undefined before the first.
	 */
	readonly newestText: string | undefined;
	/** Highest operator's version received, also of a refused configuration; 0 before the first. */
	readonly seenVersion: number;
	/**
	 * Decodes a configuration. If one is being decoded, that one is finished first; of those that arrive
	 * meanwhile only the last is decoded. One with a lower operator's version than a known one is ignored, in
	 * whichever revision of the store it is: a store restored from an older copy lists it again.
	 * @param rowRevision - revision of the row in the store or, from a peer, of the table
	 */
	load(
		text: string,
		rowRevision: StoreRevision,
		source: ConfigurationSource,
	): void;
};

export type ConfigurationLoaderOptions = {
	readonly timers: Timers;
	readonly configuration: ConfigurationState;
	readonly logger: Logger;
};

type ReceivedConfiguration = {
	readonly text: string;
	/** Set by the operator. */
	readonly version: number;
	readonly rowRevision: StoreRevision;
	readonly source: ConfigurationSource;
};

export function createConfigurationLoader(
	options: ConfigurationLoaderOptions,
): ConfigurationLoader {
	const {timers, configuration, logger} = options;
	let newest: ReceivedConfiguration | undefined;
	let inForce: ReceivedConfiguration | undefined;
	let pending: ReceivedConfiguration | undefined;
	let seenVersion = 0;
	let isLoading = false;
	let nextSliceTimer: Disposable | undefined;

	const accept = (
		received: ReceivedConfiguration,
		decoded: DeploymentConfiguration | undefined,
	) => {
		const accepted = decoded !== undefined && configuration.accept(decoded);
		if (accepted) {
			inForce = received;
		}

		const {rowRevision, source} = received;
		logger.info('configuration read', {
			version: decoded?.version ?? configuration.current?.version,
			rowVersion: rowRevision.version,
			era: rowRevision.era,
			source,
			accepted,
			routes: decoded?.routes.length,
		});
	};

	const logRefusal = (
		error: unknown,
		rowRevision: StoreRevision,
		source: ConfigurationSource,
	) => {
		const {type, detail, field} = toProblem(error);
		logger.warn('configuration refused', {
			type,
			detail,
			field,
			rowVersion: rowRevision.version,
			era: rowRevision.era,
			source,
		});
	};

	const refuse = (received: ReceivedConfiguration, error: unknown) => {
		if (newest === received) {
			newest = inForce;
		}

		logRefusal(error, received.rowRevision, received.source);
	};

	const ignore = (received: ReceivedConfiguration, newestVersion: number) => {
		logger.info('configuration ignored', {
			version: received.version,
			newestVersion,
			rowVersion: received.rowRevision.version,
			era: received.rowRevision.era,
			source: received.source,
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

	const receive = (received: ReceivedConfiguration) => {
		if (newest && received.version < newest.version) {
			ignore(received, newest.version);
			return;
		}

		newest = received;
		pending = received;
		if (!isLoading) {
			loadNext();
		}
	};

	return {
		get newestText() {
			return newest?.text;
		},
		get seenVersion() {
			return seenVersion;
		},
		load(text, rowRevision, source) {
			try {
				const version = readConfigurationVersion(text);
				seenVersion = Math.max(seenVersion, version);
				receive({text, version, rowRevision, source});
			} catch (error) {
				logRefusal(error, rowRevision, source);
			}
		},
		dispose() {
			nextSliceTimer?.dispose();
		},
	};
}
