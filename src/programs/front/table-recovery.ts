import {fetchPeerTables} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {type Clock, toProblem} from '../../common/index.js';
import type {TableSyncState} from '../../decisions/fleet/index.js';
import {shouldReadFromPeer} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch-types.js';

export type TableRecoveryOptions = {
	readonly clock: Clock;
	readonly storeWatch: StoreWatch;
	readonly logger: Logger;
};

/** Makes up for missed changes of the store: reads them there, or fetches the tables from a peer. */
export type TableRecovery = {
	/** Handles the table state that another VM has sent: catches up if this VM is behind. */
	handlePeerSyncState(
		address: string,
		configurationSyncState: TableSyncState,
		targetsSyncState: TableSyncState,
	): void;
};

const requestTimeoutMs = 800;

export function createTableRecovery(
	options: TableRecoveryOptions,
): TableRecovery {
	const {clock, logger, storeWatch} = options;
	let requestedMs = -Infinity;
	/**
	 * Monotonic time of the first message in a row that reports a newer configuration than that of this
	 * VM; undefined if the last message reported none.
	 */
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
		handlePeerSyncState(address, configurationSyncState, targetsSyncState) {
			if (
				!storeWatch.configurationSync.recordPeerState(configurationSyncState)
			) {
				storeWatch.refreshConfiguration(
					clock.nowMs() - configurationSyncState.ageMs,
				);
			}

			if (!storeWatch.targetsSync.recordPeerState(targetsSyncState)) {
				storeWatch.refreshTargets(clock.nowMs() - targetsSyncState.ageMs);
			}

			const isBehind =
				configurationSyncState.changeVersion >
				storeWatch.configurationSync.version;
			behindSinceMs = isBehind ? (behindSinceMs ?? clock.nowMs()) : undefined;
			const isDue = shouldReadFromPeer({
				isStoreLost: storeWatch.isStoreLost,
				hasTargets: storeWatch.hasTargets,
				ownTableVersion: storeWatch.configurationSync.version,
				peerChangeVersion: configurationSyncState.changeVersion,
				hasTriedStore:
					!storeWatch.hasTargets ||
					(behindSinceMs !== undefined &&
						storeWatch.lastAttemptMs > behindSinceMs),
				sinceLastRequestMs: clock.nowMs() - requestedMs,
			});
			if (isDue) {
				requestedMs = clock.nowMs();
				void requestTables(address);
			}
		},
	};
}
