import {compressText, decompressText} from '../../adapters/front/index.js';
import {ProblemError} from '../../common/index.js';
import {
	decodeRelayedConfiguration,
	decodeRelayedRows,
	encodeRelayedConfiguration,
	encodeRelayedRows,
	type RelayedRows,
} from '../../decisions/serving/index.js';
import type {ConfigurationChange} from './store-watch-types.js';

/** What the relay works with. */
export type StoreRelayOptions = {
	readonly sendToAll: (text: string) => void;
	/** A VM that reads the store told of changes of the targets. */
	readonly onRows: (changes: RelayedRows) => void;
	/** A VM that reads the store told of a configuration. */
	readonly onConfiguration: (change: ConfigurationChange) => void;
};

/** Passes on what this VM has read from the store, and takes what others have. */
export type StoreRelay = {
	/** Passes changes of the targets on to all VMs. */
	broadcastRows(changes: RelayedRows): void;
	/** Passes a configuration on to all VMs, unless it is large. */
	broadcastConfiguration(change: ConfigurationChange): void;
	/**
	 * Takes what another VM has passed on.
	 * @throws ProblemError `peer-protocol`
	 */
	handle(value: unknown): void;
};

/** Creates a relay. */
export function createStoreRelay(options: StoreRelayOptions): StoreRelay {
	return {
		broadcastRows(changes) {
			for (const text of encodeRelayedRows(changes)) {
				options.sendToAll(text);
			}
		},
		broadcastConfiguration({text, ...change}) {
			const packed = compressText(text);
			const message = encodeRelayedConfiguration({...change, packed});
			if (message !== undefined) {
				options.sendToAll(message);
			}
		},
		handle(value) {
			const rows = decodeRelayedRows(value);
			if (rows) {
				options.onRows(rows);
				return;
			}

			const configuration = decodeRelayedConfiguration(value);
			if (!configuration) {
				throw new ProblemError('peer-protocol', 'the form is not known');
			}

			const {afterVersion, version, packed} = configuration;
			options.onConfiguration({
				afterVersion,
				version,
				text: decompressText(packed),
			});
		},
	};
}
