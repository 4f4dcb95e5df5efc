import type {ProblemError} from '../../common/index.js';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {ConfigurationStore} from './configuration-store.js';

/** Options of the reading of the configuration on one entry VM. */
export type ConfigurationReaderOptions = {
	readonly store: ConfigurationStore;
	readonly follower: ConfigurationFollower;
	/** Most pages of changes read in one poll. */
	readonly maxPages: number;
	/** Told of rows that cannot be read; the version before them stays in force. */
	readonly onCorruptRow: (problem: ProblemError) => void;
};

/** Reads the configuration from the table service in bounded steps. */
export type ConfigurationReader = {
	/**
	 * Reads what is new: one read if nothing is.
	 * @throws ProblemError `table-unavailable`
	 */
	poll(): Promise<void>;
};

/** Creates a reader. */
export function createConfigurationReader(
	options: ConfigurationReaderOptions,
): ConfigurationReader {
	const {store, follower} = options;
	let triedSnapshot = false;

	const takeSnapshot = async (): Promise<boolean> => {
		const before = follower.tableVersion;
		const snapshot = await store.readSnapshot();
		if (snapshot) {
			follower.offerSnapshot(snapshot);
		}

		return follower.tableVersion > before;
	};

	return {
		async poll() {
			if (!triedSnapshot) {
				await takeSnapshot();
				triedSnapshot = true;
			}

			for (let page = 0; page < options.maxPages; page++) {
				const from = follower.tableVersion;
				const {changes, rowProblem, isLast} = await store.readPage(from);
				follower.offer(changes, isLast ? 'table' : 'table-page');
				if (rowProblem) {
					options.onCorruptRow(rowProblem);
					// A snapshot that was written later leads past the malformed row; peers may do so too.
					if (!(await takeSnapshot())) {
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
