import {askPeerForTables} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {type Clock, toProblem} from '../../common/index.js';
import {
	type ConfigurationState,
	type LoadDigest,
	shouldAskPeer,
} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch.js';

/** What the recovery works with. */
export type PeerRecoveryOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationState;
	readonly watch: () => StoreWatch;
	readonly logger: Logger;
};

/** Learns from peers what the store does not tell. */
export type PeerRecovery = {
	/** A digest of a peer arrived. */
	heard(address: string, digest: LoadDigest): void;
};

const askTimeoutMs = 800;

/** Creates a recovery that has asked nobody. */
export function createPeerRecovery(options: PeerRecoveryOptions): PeerRecovery {
	const {clock, configuration, logger} = options;
	let askedMs = -Infinity;

	const ask = async (address: string) => {
		try {
			const tables = await askPeerForTables(address, askTimeoutMs);
			if (tables) {
				options.watch().takeTables(tables);
			}

			logger.info('tables read from a peer', {
				peer: address,
				targets: tables?.targets.length,
				targetsVersion: tables?.targetsVersion,
			});
		} catch (error) {
			const problem = toProblem(error, 'peer-unavailable');
			logger.warn('tables not read from a peer', {
				peer: address,
				type: problem.type,
				detail: problem.message,
			});
		}
	};

	return {
		heard(address, digest) {
			const watch = options.watch();
			const isDue = shouldAskPeer({
				isStoreLost: watch.isStoreLost,
				hasTargets: watch.hasTargets,
				ownVersion: configuration.current?.version ?? 0,
				peerVersion: digest.configurationVersion,
				sinceAskedMs: clock.nowMs() - askedMs,
			});
			if (isDue) {
				askedMs = clock.nowMs();
				void ask(address);
			}
		},
	};
}
