import {fetchPeerTables} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {type Clock, toProblem} from '../../common/index.js';
import type {TableSyncState} from '../../decisions/fleet/index.js';
import {shouldReadFromPeer} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch-types.js';

/** What the recovery works with. */
export type PeerRecoveryOptions = {
	readonly clock: Clock;
	readonly watch: StoreWatch;
	readonly logger: Logger;
};

/** Learns from other VMs what the store does not tell. */
export type PeerRecovery = {
	/** A VM told how far it is with the tables. */
	heard(
		address: string,
		configuration: TableSyncState,
		targets: TableSyncState,
	): void;
};

const askTimeoutMs = 800;

/** Creates a recovery that has asked nobody. */
export function createPeerRecovery(options: PeerRecoveryOptions): PeerRecovery {
	const {clock, logger, watch} = options;
	let askedMs = -Infinity;
	/** Monotonic time at which a peer first told of what is missing here. */
	let toldMs: number | undefined;

	const ask = async (address: string) => {
		try {
			const tables = await fetchPeerTables(address, askTimeoutMs);
			if (tables) {
				watch.applyPeerTables(tables);
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
		heard(address, configuration, targets) {
			if (!watch.configurationBelief.recordPeerState(configuration)) {
				watch.refreshConfiguration(clock.nowMs() - configuration.ageMs);
			}

			if (!watch.targetsBelief.recordPeerState(targets)) {
				watch.refreshTargets(clock.nowMs() - targets.ageMs);
			}

			const isBehind =
				configuration.changeVersion > watch.configurationBelief.version;
			toldMs = isBehind ? (toldMs ?? clock.nowMs()) : undefined;
			const isDue = shouldReadFromPeer({
				isStoreLost: watch.isStoreLost,
				hasTargets: watch.hasTargets,
				ownVersion: watch.configurationBelief.version,
				peerChangeVersion: configuration.changeVersion,
				hasTriedStore:
					!watch.hasTargets ||
					(toldMs !== undefined && watch.lastAttemptMs > toldMs),
				sinceLastRequestMs: clock.nowMs() - askedMs,
			});
			if (isDue) {
				askedMs = clock.nowMs();
				void ask(address);
			}
		},
	};
}
