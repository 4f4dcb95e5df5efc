import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	type TargetEntry,
	type TargetClient,
	type Timers,
	toProblem,
} from '../../common/index.js';

/** Reads the memory of the engines of each service once, from the first that answers. */
export type CapacityReader = Disposable & {
	targetArrived(entry: TargetEntry): void;
};

const reportTimeoutMs = 1000;
/** Time after a failure in which no engine of the service is asked, in milliseconds. */
const retryDelayMs = 2000;

/** What a reader works with. */
export type CapacityReaderOptions = {
	readonly link: TargetClient;
	readonly timers: Timers;
	readonly isEngineService: (service: string) => boolean;
	readonly onCapacity: (service: string, capacityTokens: number) => void;
	readonly logger: Logger;
};

/** Creates a reader that knows no service. */
export function createCapacityReader(
	options: CapacityReaderOptions,
): CapacityReader {
	const {link, timers, isEngineService, onCapacity, logger} = options;
	const known = new Set<string>();
	const retry: Disposable[] = [];
	let isDisposed = false;

	const read = async ({id, service, address}: TargetEntry) => {
		try {
			const report = await link.report(address, reportTimeoutMs);
			logger.info('capacity read', {
				target: id,
				service,
				capacityTokens: report.capacityTokens,
			});
			onCapacity(service, report.capacityTokens);
		} catch (error) {
			retry.push(
				timers.after(retryDelayMs, () => {
					known.delete(service);
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
		targetArrived(entry) {
			if (
				isDisposed ||
				known.has(entry.service) ||
				!isEngineService(entry.service)
			) {
				return;
			}

			known.add(entry.service);
			void read(entry);
		},
		dispose() {
			isDisposed = true;
			for (const timer of retry) {
				timer.dispose();
			}
		},
	};
}
