import type {Logger} from '../../adapters/system/index.js';
import {
	createDisposableStore,
	type Disposable,
	type TargetClient,
} from '../../common/index.js';
import type {CrashObserver} from '../../decisions/quarantine/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {TargetDirectory} from '../../decisions/serving/index.js';
import type {
	ColdTargets,
	EvacuatedZones,
} from '../../decisions/target-eligibility/index.js';
import type {TargetStatements} from '../../decisions/target-statements/index.js';
import type {CapacityReader} from './capacity-reader.js';
import type {RequestServer} from './request-server.js';

/** The components that are updated when targets arrive, leave, become unreachable or are evacuated. */
export type TargetEventOptions = {
	readonly directory: TargetDirectory;
	readonly targetClient: TargetClient;
	readonly detector: OutlierDetector;
	readonly capacityReader: CapacityReader;
	readonly statements: Pick<
		TargetStatements,
		'onChanged' | 'recordArrival' | 'recordDeparture'
	>;
	readonly evacuatedZones: Pick<EvacuatedZones, 'onChanged'>;
	readonly coldTargets: Pick<ColdTargets, 'recordRefusal' | 'recordZoneReturn'>;
	readonly crashObserver: Pick<CrashObserver, 'engineGone'>;
	readonly requests: Pick<RequestServer, 'targetUnusable'>;
	readonly logger: Logger;
};

const maxConnectionsPerTarget = 24;

/**
 * Updates connection limits, outlier detection, capacities and open requests when targets arrive, leave,
 * become unreachable or are evacuated.
 */
export function handleTargetEvents(options: TargetEventOptions): Disposable {
	const {directory, targetClient, detector, requests, logger} = options;
	const {capacityReader, statements, coldTargets, crashObserver} = options;
	const owned = createDisposableStore();
	const updateDetector = (service: string) => {
		detector.setTargets(
			service,
			directory.usable(service).map(({entry}) => entry.id),
		);
	};

	owned.add(
		directory.onArrived((entry) => {
			logger.info('target arrived', {
				target: entry.id,
				service: entry.service,
				address: entry.address,
				availabilityZone: entry.availabilityZone,
			});
			targetClient.setMaxConnections(entry.address, maxConnectionsPerTarget);
			statements.recordArrival(entry);
			updateDetector(entry.service);
			capacityReader.readIfMissing(entry);
		}),
	);
	owned.add(
		directory.onDeparted(({entry, reason}) => {
			logger.info('target leaves', {
				target: entry.id,
				service: entry.service,
				reason,
			});
			updateDetector(entry.service);
			statements.recordDeparture(entry);
			// Neither shows that the engine has ended.
			if (reason !== 'draining' && reason !== 'invalid-row') {
				crashObserver.engineGone(entry.id);
			}

			requests.targetUnusable(entry.id);
		}),
	);
	owned.add(
		directory.onUnreachable((entry) => {
			logger.warn('target unreachable', {
				target: entry.id,
				service: entry.service,
			});
			coldTargets.recordRefusal(entry);
			crashObserver.engineGone(entry.id);
			requests.targetUnusable(entry.id);
		}),
	);
	owned.add(
		statements.onChanged(({targetId, kind, change}) => {
			if (kind === 'leaving' && change === 'begins') {
				requests.targetUnusable(targetId);
			}
		}),
	);
	owned.add(
		options.evacuatedZones.onChanged(({availabilityZone, change}) => {
			if (change === 'ends') {
				coldTargets.recordZoneReturn(availabilityZone);
			}

			const entries = [...directory.all()]
				.map(({entry}) => entry)
				.filter((entry) => entry.availabilityZone === availabilityZone);
			for (const entry of entries) {
				if (change === 'begins') {
					requests.targetUnusable(entry.id);
				} else {
					capacityReader.readIfMissing(entry);
				}
			}
		}),
	);
	return owned;
}
