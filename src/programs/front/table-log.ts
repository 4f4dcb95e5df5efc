import type {Logger} from '../../adapters/system/index.js';
import type {ProblemError} from '../../common/index.js';
import type {TableSyncTracker} from '../../decisions/fleet/index.js';
import type {ReadReason, TableListener} from '../../decisions/serving/index.js';

/** Logs reads and outages of the store's tables. */
export type TableLog = {
	logLost(dependency: string, problem: ProblemError): void;
	logRegained(dependency: string, syncTracker: TableSyncTracker): void;
	/** Listener that logs the reads of one table. */
	readListener(
		table: string,
		syncTracker: TableSyncTracker,
	): Pick<TableListener, 'onRead'>;
};

/** @param onRead - called for each read, also for those that are not logged */
export function createTableLog(
	logger: Logger,
	onRead: (table: string, reason: ReadReason) => void,
): TableLog {
	return {
		logLost(dependency, {type, message}) {
			logger.warn('dependency lost', {dependency, type, detail: message});
		},
		logRegained(dependency, {revision, ageMs}) {
			logger.info('dependency regained', {
				dependency,
				version: revision.version,
				era: revision.era,
				ageMs: Math.round(ageMs),
			});
		},
		readListener: (table, syncTracker) => ({
			onRead(reason) {
				onRead(table, reason);
				// Reads of a store reader are not logged; the changes that they bring are.
				if (reason !== 'reader') {
					logger.info('table read', {
						table,
						reason,
						version: syncTracker.revision.version,
						era: syncTracker.revision.era,
					});
				}
			},
		}),
	};
}
