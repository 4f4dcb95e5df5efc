import {fetchPeerTables} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {type Clock, toProblem} from '../../common/index.js';
import type {TableSyncState} from '../../decisions/fleet/index.js';
import {shouldReadFromPeer} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch-types.js';

export type PeerRecoveryOptions = {
	readonly clock: Clock;
	readonly storeWatch: StoreWatch;
	readonly logger: Logger;
};

/** Makes up for missed changes of the store: reads them there, or fetches the tables from a peer. */
export type PeerRecovery = {
	/** Handles the table state that another VM has sent: catches up if this VM is behind. */
	handlePeerSyncState(
		address: string,
		configuration: TableSyncState,
		targets: TableSyncState,
	): void;
};

const requestTimeoutMs = 800;

export function createPeerRecovery(options: PeerRecoveryOptions): PeerRecovery {
	const {clock, logger, storeWatch} = options;
	let requestedMs = -Infinity;
	/** Monotonic time at which a peer first reported a newer configuration; undefined while none does. */
	let behindSinceMs: number | undefined;

	const requestTables = async (address: string) => {
		try {
			const tables = await fetchPeerTables(address, requestTimeoutMs);
			if (tables) {
				storeWatch.applyPeerTables(tables);
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
		handlePeerSyncState(address, configuration, targets) {
			if (!storeWatch.configurationSync.recordPeerState(configuration)) {
				storeWatch.refreshConfiguration(clock.nowMs() - configuration.ageMs);
			}

			if (!storeWatch.targetsSync.recordPeerState(targets)) {
				storeWatch.refreshTargets(clock.nowMs() - targets.ageMs);
			}

			const isBehind =
				configuration.changeVersion > storeWatch.configurationSync.version;
			behindSinceMs = isBehind ? (behindSinceMs ?? clock.nowMs()) : undefined;
			const isDue = shouldReadFromPeer({
				isStoreLost: storeWatch.isStoreLost,
				hasTargets: storeWatch.hasTargets,
				ownVersion: storeWatch.configurationSync.version,
				peerVersion: configuration.changeVersion,
				hasTriedStore:
					!storeWatch.hasTargets ||
					(behindSinceMs !== undefined &&
						storeWatch.lastAttemptMs > behindSinceMs),
				sinceAskedMs: clock.nowMs() - requestedMs,
			});
			if (isDue) {
				requestedMs = clock.nowMs();
				void requestTables(address);
			}
		},
	};
}
