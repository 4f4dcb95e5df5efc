import type {Logger} from '../../adapters/system/index.js';
import type {ProblemError} from '../../common/index.js';
import type {TableSyncTracker} from '../../decisions/fleet/index.js';
import type {ReadReason, TableListener} from '../../decisions/serving/index.js';

/** Log lines about the tables of the store. */
export type TableLog = {
	logLost(table: string, problem: ProblemError): void;
	logRegained(table: string, belief: TableSyncTracker): void;
	/** Notes reads of one table. */
	readListener(
		table: string,
		belief: TableSyncTracker,
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
		logRegained(dependency, {version, ageMs}) {
			logger.info('dependency regained', {
				dependency,
				version,
				ageMs: Math.round(ageMs),
			});
		},
		readListener: (table, belief) => ({
			onRead(reason) {
				onRead(table, reason);
				// What readers read tells itself by its changes.
				if (reason !== 'reader') {
					logger.info('table read', {table, reason, version: belief.version});
				}
			},
		}),
	};
}
