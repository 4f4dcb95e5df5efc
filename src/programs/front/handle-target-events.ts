import type {Logger} from '../../adapters/system/index.js';
import {
	createDisposableStore,
	type Disposable,
	type TargetClient,
} from '../../common/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {TargetDirectory} from '../../decisions/serving/index.js';
import type {CapacityReader} from './capacity-reader.js';
import type {RequestServer} from './request-server.js';

/** What hears of targets that come and go. */
export type TargetEventOptions = {
	readonly directory: TargetDirectory;
	readonly link: TargetClient;
	readonly detector: OutlierDetector;
	readonly capacities: CapacityReader;
	readonly requests: Pick<RequestServer, 'engineUnusable'>;
	readonly logger: Logger;
};

const connectionsPerTarget = 24;

/** Tells connections, health, capacities and requests of targets that come and go. */
export function handleTargetEvents(options: TargetEventOptions): Disposable {
	const {directory, link, detector, capacities, requests, logger} = options;
	const owned = createDisposableStore();
	const updateService = (service: string) => {
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
			link.setMaxConnections(entry.address, connectionsPerTarget);
			updateService(entry.service);
			capacities.targetArrived(entry);
		}),
	);
	owned.add(
		directory.onDeparted(({entry, reason}) => {
			logger.info('target leaves', {
				target: entry.id,
				service: entry.service,
				reason,
			});
			updateService(entry.service);
			requests.engineUnusable(entry.id);
		}),
	);
	owned.add(
		directory.onUnreachable((entry) => {
			logger.warn('target unreachable', {
				target: entry.id,
				service: entry.service,
			});
			requests.engineUnusable(entry.id);
		}),
	);
	return owned;
}
