import type {Logger, Metrics} from '../../adapters/system/index.js';
import {type TableService, toProblem} from '../../common/index.js';
import {
	type ConfigurationFollower,
	createConfigurationFollower,
	createConfigurationReader,
	createConfigurationStore,
} from '../../decisions/configuration/index.js';

/** What the reading of the configuration needs from the daemon. */
export type ConfigurationPollerOptions = {
	readonly table: TableService;
	readonly metrics: Metrics;
	readonly logger: Logger;
	/** Most pages of changes read in one poll. */
	readonly maxPages: number;
};

/** The daemon's configuration. */
export type ConfigurationPoller = {
	readonly follower: ConfigurationFollower;
	/** Whether the last poll reached the table service. */
	readonly isTableReachable: boolean;
	/** Reads what is new from the table service. Failures are counted. */
	poll(): Promise<void>;
};

/** Wires the reading of the configuration together. */
export function createConfigurationPoller(
	options: ConfigurationPollerOptions,
): ConfigurationPoller {
	const {metrics, logger} = options;
	const follower = createConfigurationFollower();
	let isPolling = false;
	let isReachable = true;
	let corruptRow: string | undefined;
	let foundCorruptRow: string | undefined;
	let mismatchCount = 0;
	const reader = createConfigurationReader({
		store: createConfigurationStore(options.table),
		follower,
		maxPages: options.maxPages,
		onCorruptRow(problem) {
			foundCorruptRow = problem.field;
			metrics.count('corrupt_rows');
		},
	});

	const noteReachable = (reachable: boolean) => {
		if (reachable !== isReachable) {
			isReachable = reachable;
			logger.warn(
				reachable
					? 'table service is reachable'
					: 'table service is unreachable',
			);
		}
	};

	const noteCorruptRow = () => {
		if (foundCorruptRow !== corruptRow) {
			corruptRow = foundCorruptRow;
			logger.warn('readability of the configuration changed', {corruptRow});
		}
	};

	const noteMismatches = () => {
		if (follower.mismatchCount > mismatchCount) {
			metrics.count(
				'configuration_mismatches',
				{},
				follower.mismatchCount - mismatchCount,
			);
			mismatchCount = follower.mismatchCount;
			logger.warn(
				'a peer offered changes that the table service does not have',
			);
		}
	};

	return {
		follower,
		get isTableReachable() {
			return isReachable;
		},
		async poll() {
			// A slow table service must not make polls pile up.
			if (isPolling) {
				return;
			}

			isPolling = true;
			foundCorruptRow = undefined;
			try {
				await reader.poll();
				noteReachable(true);
				noteCorruptRow();
				noteMismatches();
			} catch (error) {
				metrics.count('table_errors', {type: toProblem(error).type});
				noteReachable(false);
			} finally {
				isPolling = false;
			}
		},
	};
}
