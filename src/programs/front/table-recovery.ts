import {fetchPeerTables} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {type Clock, isNewerRevision, toProblem} from '../../common/index.js';
import {
	newestRevisionOf,
	type PeerTableStates,
} from '../../decisions/fleet/index.js';
import {shouldReadFromPeer} from '../../decisions/serving/index.js';
import type {StoreWatch} from './store-watch-types.js';

export type TableRecoveryOptions = {
	readonly clock: Clock;
	readonly storeWatch: StoreWatch;
	readonly logger: Logger;
	/** Replaced in tests without a network. */
	readonly fetchTables?: typeof fetchPeerTables;
};

/** Makes up for missed changes of the store: reads them there, or fetches the tables from a peer. */
export type TableRecovery = {
	/** Handles the table states that another VM has sent: catches up if this VM is behind. */
	handlePeerTableStates(address: string, states: PeerTableStates): void;
};

const requestTimeoutMs = 800;

export function createTableRecovery(
	options: TableRecoveryOptions,
): TableRecovery {
	const {clock, logger, storeWatch, fetchTables = fetchPeerTables} = options;
	let requestedMs = -Infinity;
	/**
	 * Monotonic time of the first message in a row that reports a newer configuration than that of this
	 * VM; undefined if the last message reported none.
	 */
	let behindSinceMs: number | undefined;

	const requestTables = async (address: string) => {
		try {
			const tables = await fetchTables(address, requestTimeoutMs);
			if (tables) {
				storeWatch.applyPeerTables(tables);
			}

			logger.info('tables read from a peer', {
				peer: address,
				targets: tables?.targets.length,
				targetsVersion: tables?.targetsRevision.version,
				era: tables?.targetsRevision.era,
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

	/** Reads both tables if a peer knows of a newer era, and otherwise what this VM lacks of each. */
	const refreshBehind = ({configuration, targets}: PeerTableStates) => {
		const {configurationSync, targetsSync} = storeWatch;
		const isConfigurationKnown =
			configurationSync.recordPeerState(configuration);
		const areTargetsKnown = targetsSync.recordPeerState(targets);
		const newestState =
			targets.revision.era > configuration.revision.era
				? targets
				: configuration;
		const {era} = newestState.revision;
		if (
			era > Math.min(configurationSync.revision.era, targetsSync.revision.era)
		) {
			storeWatch.restart(era, clock.nowMs() - newestState.ageMs);
			return;
		}

		if (!isConfigurationKnown) {
			storeWatch.refreshConfiguration(clock.nowMs() - configuration.ageMs);
		}

		if (!areTargetsKnown) {
			storeWatch.refreshTargets(clock.nowMs() - targets.ageMs);
		}
	};

	/** True if the peer knows what the restored store may lack. */
	const isStoreIncomplete = (
		{operatorVersion, configuration}: PeerTableStates,
		isBehind: boolean,
	) =>
		configuration.revision.version > 0 &&
		(storeWatch.needsPeerComparison ||
			(storeWatch.configurationSync.revision.era > 0 &&
				!isBehind &&
				operatorVersion > storeWatch.configurationVersion));

	return {
		handlePeerTableStates(address, states) {
			refreshBehind(states);
			const peerChangeRevision = newestRevisionOf(states.configuration);
			const ownTableRevision = storeWatch.configurationSync.revision;
			const isBehind = isNewerRevision(peerChangeRevision, ownTableRevision);
			behindSinceMs = isBehind ? (behindSinceMs ?? clock.nowMs()) : undefined;
			const isDue = shouldReadFromPeer({
				isStoreLost: storeWatch.isStoreLost,
				hasTargets: storeWatch.hasTargets,
				ownTableRevision,
				peerChangeRevision,
				hasTriedStore:
					!storeWatch.hasTargets ||
					(behindSinceMs !== undefined &&
						storeWatch.lastAttemptMs > behindSinceMs),
				isStoreIncomplete: isStoreIncomplete(states, isBehind),
				sinceLastRequestMs: clock.nowMs() - requestedMs,
			});
			if (isDue) {
				requestedMs = clock.nowMs();
				void requestTables(address);
			}
		},
	};
}
