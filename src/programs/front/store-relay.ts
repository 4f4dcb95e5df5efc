import {compressText, decompressText} from '../../adapters/front/index.js';
import {ProblemError} from '../../common/index.js';
import {
	decodeRelayedConfiguration,
	decodeRelayedEvacuations,
	decodeRelayedRows,
	encodeRelayedConfiguration,
	encodeRelayedEvacuations,
	encodeRelayedRows,
	type EvacuationList,
	type RelayedRows,
} from '../../decisions/serving/index.js';
import type {ConfigurationChange} from './store-watch-types.js';

export type StoreRelayOptions = {
	readonly sendToAll: (text: string) => void;
	/** Called with changes of the targets that another VM has read from the store. */
	readonly onPeerRows: (changes: RelayedRows) => void;
	/** Called with a configuration that another VM has read from the store. */
	readonly onPeerConfiguration: (change: ConfigurationChange) => void;
	/** Called with the evacuated zones that another VM has read from the store. */
	readonly onPeerEvacuations: (list: EvacuationList) => void;
};

/** Relays changes of the store's tables between VMs, so that only a few VMs read the store. */
export type StoreRelay = {
	/** Sends changes of the targets to all VMs. */
	broadcastRows(changes: RelayedRows): void;
	/** Sends a configuration to all VMs; one that is too large for a datagram is not sent. */
	broadcastConfiguration(change: ConfigurationChange): void;
	/** Sends the evacuated zones to all VMs, also where the configuration is too large to be sent. */
	broadcastEvacuations(list: EvacuationList): void;
	/**
	 * Handles a relayed change from another VM.
	 * @throws ProblemError `peer-protocol` if the value is not one
	 */
	handle(value: unknown): void;
};

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
		broadcastEvacuations(list) {
			options.sendToAll(encodeRelayedEvacuations(list));
		},
		handle(value) {
			const rows = decodeRelayedRows(value);
			if (rows) {
				options.onPeerRows(rows);
				return;
			}

			const evacuations = decodeRelayedEvacuations(value);
			const configuration = decodeRelayedConfiguration(value);
			if (evacuations && !configuration) {
				options.onPeerEvacuations(evacuations);
				return;
			}

			if (!configuration) {
				throw new ProblemError(
					'peer-protocol',
					'the datagram holds neither rows nor a configuration nor evacuated zones',
				);
			}

			const {packed, ...change} = configuration;
			options.onPeerConfiguration({...change, text: decompressText(packed)});
		},
	};
}
