import type {Logger} from '../../adapters/system/index.js';
import {
	createDisposableStore,
	type Disposable,
	type TargetClient,
	type Timers,
} from '../../common/index.js';
import type {CrashObserver} from '../../decisions/quarantine/index.js';
import {type CapacityReader, createCapacityReader} from './capacity-reader.js';
import type {DeploymentState} from './deployment-state.js';
import {startEnginePolling} from './engine-polling.js';
import {handleTargetEvents} from './handle-target-events.js';
import type {RequestServer} from './request-server.js';

export type TargetWatchOptions = {
	readonly timers: Timers;
	readonly targetClient: TargetClient;
	readonly deployment: DeploymentState;
	readonly isEngineService: (service: string) => boolean;
	readonly crashObserver: Pick<CrashObserver, 'engineGone'>;
	readonly requests: Pick<RequestServer, 'enginesInUse' | 'targetUnusable'>;
	readonly logger: Logger;
};

/** Reads and polls engines, and updates what depends on the targets. */
export type TargetWatch = Disposable & {
	readonly capacityReader: CapacityReader;
};

export function watchTargets({
	deployment,
	isEngineService,
	requests,
	...options
}: TargetWatchOptions): TargetWatch {
	const {engineSelector, eligibility, storeWatch, targetHealth} = deployment;
	const owned = createDisposableStore();
	const capacityReader = owned.add(
		createCapacityReader({
			...options,
			isEngineService,
			mayRead: (target) => !eligibility.isEvacuated(target),
			onCapacity(service, tokens) {
				engineSelector.setCapacity(service, tokens);
			},
		}),
	);
	owned.add(
		startEnginePolling({
			...deployment,
			...options,
			areTargetsCurrent: () => storeWatch.areTargetsCurrent,
			enginesInUse: () => requests.enginesInUse(),
		}),
	);
	owned.add(
		handleTargetEvents({
			...deployment,
			...options,
			detector: targetHealth.detector,
			capacityReader,
			requests,
		}),
	);
	return {
		capacityReader,
		dispose() {
			owned.dispose();
		},
	};
}
