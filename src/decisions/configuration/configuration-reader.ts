import type {ProblemError} from '../../common/index.js';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {ConfigurationStore} from './configuration-store.js';

/** Store, follower and limits of a reader. */
export type ConfigurationReaderOptions = {
	readonly store: ConfigurationStore;
	readonly follower: ConfigurationFollower;
	/** Maximum number of pages of changes read in one poll. */
	readonly maxPages: number;
	/** Called when a row is malformed or missing, before a later snapshot is tried. */
	readonly onCorruptRow: (problem: ProblemError) => void;
};

/** Reads the configuration from the table service into a follower, a bounded number of pages at a time. */
export type ConfigurationReader = {
	/**
	 * Reads new changes, on the first call also a snapshot; later calls take a single read if there are none.
	 * @throws ProblemError `table-unavailable`, or `table-corrupt-row` if the head row is malformed
	 */
	poll(): Promise<void>;
};

export function createConfigurationReader(
	options: ConfigurationReaderOptions,
): ConfigurationReader {
	const {store, follower} = options;
	let hasTriedSnapshot = false;

	const applySnapshot = async (): Promise<boolean> => {
		const previousVersion = follower.tableVersion;
		const snapshot = await store.readSnapshot();
		if (snapshot) {
			follower.offerSnapshot(snapshot);
		}

		return follower.tableVersion > previousVersion;
	};

	return {
		async poll() {
			if (!hasTriedSnapshot) {
				await applySnapshot();
				hasTriedSnapshot = true;
			}

			for (let page = 0; page < options.maxPages; page++) {
				const afterVersion = follower.tableVersion;
				const {changes, rowProblem, isLast} =
					await store.readPage(afterVersion);
				follower.offer(changes, isLast ? 'table' : 'table-page');
				if (rowProblem) {
					options.onCorruptRow(rowProblem);
					// A snapshot of a later version skips the malformed row; changes from peers may do so as well.
					if (!(await applySnapshot())) {
						if (!follower.isCaughtUp) {
							follower.requireVersion(await store.headVersion());
						}

						return;
					}
				} else if (isLast) {
					return;
				}
			}
		},
	};
}
