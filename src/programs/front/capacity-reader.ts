import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	type TargetEntry,
	type TargetClient,
	type Timers,
	toProblem,
} from '../../common/index.js';

/**
 * Reads the KV cache capacity of each engine service once, from the load report of one engine; all
 * engines of a service are taken to have the same.
 */
export type CapacityReader = Disposable & {
	/** Reads the capacity of the target's service if it is an engine service and not yet read. */
	readIfMissing(entry: TargetEntry): void;
};

const reportTimeoutMs = 1000;
/** Time after a failure during which no engine of the service is read, in milliseconds. */
const failureBackoffMs = 2000;

export type CapacityReaderOptions = {
	readonly targetClient: TargetClient;
	readonly timers: Timers;
	readonly isEngineService: (service: string) => boolean;
	/** False while nothing may be sent to the target. */
	readonly mayRead: (target: TargetEntry) => boolean;
	readonly onCapacity: (service: string, capacityTokens: number) => void;
	readonly logger: Logger;
};
export function createCapacityReader(
	options: CapacityReaderOptions,
): CapacityReader {
	const {targetClient, timers, isEngineService, onCapacity, logger} = options;
	const requestedServices = new Set<string>();
	const backoffTimers: Disposable[] = [];
	let isDisposed = false;

	const read = async ({id, service, address}: TargetEntry) => {
		try {
			const report = await targetClient.report(address, reportTimeoutMs);
			logger.info('capacity read', {
				target: id,
				service,
				capacityTokens: report.capacityTokens,
			});
			onCapacity(service, report.capacityTokens);
		} catch (error) {
			backoffTimers.push(
				timers.after(failureBackoffMs, () => {
					requestedServices.delete(service);
				}),
			);
			logger.warn('capacity not read', {
				target: id,
				service,
				detail: toProblem(error).message,
			});
		}
	};

	return {
		readIfMissing(entry) {
			if (
				isDisposed ||
				requestedServices.has(entry.service) ||
				!isEngineService(entry.service) ||
				!options.mayRead(entry)
			) {
				return;
			}

			requestedServices.add(entry.service);
			void read(entry);
		},
		dispose() {
			isDisposed = true;
			for (const timer of backoffTimers) {
				timer.dispose();
			}
		},
	};
}
