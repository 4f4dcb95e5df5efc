import type {Logger, Metrics} from '../../adapters/system/index.js';
import {type TableService, toProblem} from '../../common/index.js';
import {
	type ConfigurationFollower,
	createConfigurationFollower,
	createConfigurationReader,
	createConfigurationStore,
} from '../../decisions/configuration/index.js';

/** Dependencies and limits of `createConfigurationPoller`. */
export type ConfigurationPollerOptions = {
	readonly table: TableService;
	readonly metrics: Metrics;
	readonly logger: Logger;
	/** Largest number of pages of changes that one poll reads. */
	readonly maxPages: number;
};

/** Reads the configuration from the table service whenever its owner polls. */
export type ConfigurationPoller = {
	readonly follower: ConfigurationFollower;
	/** Whether the last poll reached the table service. */
	readonly isTableReachable: boolean;
	/**
	 * Reads new changes from the table service. Failures are counted in the metrics, not thrown; a call
	 * during another one does nothing.
	 */
	poll(): Promise<void>;
};

/** Creates the poller and the follower that it updates; the owner calls `poll` periodically. */
export function createConfigurationPoller(
	options: ConfigurationPollerOptions,
): ConfigurationPoller {
	const {metrics, logger} = options;
	const follower = createConfigurationFollower();
	let isPolling = false;
	let isReachable = true;
	let reportedCorruptRow: string | undefined;
	let corruptRow: string | undefined;
	let reportedMismatchCount = 0;
	const reader = createConfigurationReader({
		store: createConfigurationStore(options.table),
		follower,
		maxPages: options.maxPages,
		onCorruptRow(problem) {
			corruptRow = problem.field;
			metrics.count('corrupt_rows');
		},
	});

	const updateReachability = (reachable: boolean) => {
		if (reachable !== isReachable) {
			isReachable = reachable;
			logger.warn(
				reachable
					? 'table service is reachable'
					: 'table service is unreachable',
			);
		}
	};

	const reportCorruptRow = () => {
		if (corruptRow !== reportedCorruptRow) {
			reportedCorruptRow = corruptRow;
			logger.warn(
				'corrupt configuration row has changed; none if not named here',
				{
					corruptRow: reportedCorruptRow,
				},
			);
		}
	};

	const reportMismatches = () => {
		if (follower.mismatchCount > reportedMismatchCount) {
			metrics.count(
				'configuration_mismatches',
				{},
				follower.mismatchCount - reportedMismatchCount,
			);
			reportedMismatchCount = follower.mismatchCount;
			logger.warn(
				'a peer sent configuration changes that differ from those of the table service',
			);
		}
	};

	return {
		follower,
		get isTableReachable() {
			return isReachable;
		},
		async poll() {
			// With a slow table service, polls would otherwise pile up.
			if (isPolling) {
				return;
			}

			isPolling = true;
			corruptRow = undefined;
			try {
				await reader.poll();
				updateReachability(true);
				reportCorruptRow();
				reportMismatches();
			} catch (error) {
				metrics.count('table_errors', {type: toProblem(error).type});
				updateReachability(false);
			} finally {
				isPolling = false;
			}
		},
	};
}
