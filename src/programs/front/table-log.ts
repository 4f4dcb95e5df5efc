import type {Logger} from '../../adapters/system/index.js';
import type {ProblemError} from '../../common/index.js';
import type {TableBelief} from '../../decisions/fleet/index.js';
import type {ReadReason, TableListener} from '../../decisions/serving/index.js';

/** Log lines about the tables of the store. */
export type TableLog = {
	lost(table: string, problem: ProblemError): void;
	regained(table: string, belief: TableBelief): void;
	/** Notes reads of one table. */
	readBy(table: string, belief: TableBelief): Pick<TableListener, 'onRead'>;
};

/** @param onRead - called for each read, also for those that are not logged */
export function createTableLog(
	logger: Logger,
	onRead: (table: string, reason: ReadReason) => void,
): TableLog {
	return {
		lost(dependency, {type, message}) {
			logger.warn('dependency lost', {dependency, type, detail: message});
		},
		regained(dependency, {version, ageMs}) {
			logger.info('dependency regained', {
				dependency,
				version,
				ageMs: Math.round(ageMs),
			});
		},
		readBy: (table, belief) => ({
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
