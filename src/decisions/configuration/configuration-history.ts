import {
	ProblemError,
	type TableService,
	toProblem,
} from '../../common/index.js';
import {
	parseChangeRow,
	parseSnapshotRow,
	snapshotPrefix,
	versionPrefix,
	versionRowKey,
} from './configuration-codec.js';
import {applyChange, emptyConfiguration} from './fleet-configuration.js';
import type {ConfigurationChange, FleetConfiguration} from './types.js';

/** Result of reading one page of the history. */
export type ChangePage = {
	/** Changes in order without a gap, up to the first row that is malformed or missing. */
	readonly changes: readonly ConfigurationChange[];
	/** Problem of the first row that is malformed or missing. */
	readonly rowProblem: ProblemError | undefined;
	/** Whether the table service has no more rows after this page. */
	readonly isLast: boolean;
};

/** Reads the configuration's changes and snapshots from the table service. */
export type ConfigurationHistory = {
	readChange(version: number): Promise<ConfigurationChange | undefined>;
	/** Reads a page of the changes after a version. */
	readPage(version: number): Promise<ChangePage>;
	/** Reads the latest snapshot that is not malformed. */
	readSnapshot(): Promise<FleetConfiguration | undefined>;
	/** Reconstructs the configuration at a version; undefined if a row on the pages read is malformed or missing. */
	readConfiguration(version: number): Promise<FleetConfiguration | undefined>;
};

/** Number of snapshots that are kept: the latest, and the one before it in case the latest is malformed. */
export const keptSnapshotCount = 2;

/**
 * Number of older versions whose snapshots are removed with each new snapshot. It is above 1 so that snapshots that
 * were not removed earlier, because a snapshot in between could not be written, are removed too.
 */
export const removedSnapshotCount = 8;

export function createConfigurationHistory(
	table: TableService,
	pageRows: number,
): ConfigurationHistory {
	const readChange = async (version: number) => {
		const row = await table.get(versionRowKey(version));
		return row && parseChangeRow(row);
	};

	const readPage = async (version: number): Promise<ChangePage> => {
		const rows = await table.list(versionPrefix, {
			after: versionRowKey(version),
			limit: pageRows,
		});
		const changes: ConfigurationChange[] = [];
		for (const row of rows) {
			try {
				const change = parseChangeRow(row);
				const expected = version + changes.length + 1;
				if (change.version !== expected) {
					throw new ProblemError(
						'table-corrupt-row',
						`row "${versionRowKey(expected)}" is missing`,
						{field: versionRowKey(expected)},
					);
				}

				changes.push(change);
			} catch (error) {
				return {changes, rowProblem: toProblem(error), isLast: false};
			}
		}

		return {changes, rowProblem: undefined, isLast: rows.length < pageRows};
	};

	const readSnapshot = async (): Promise<FleetConfiguration | undefined> => {
		const rows = await table.list(snapshotPrefix, {
			limit: keptSnapshotCount + removedSnapshotCount,
		});
		for (const row of rows.toReversed()) {
			try {
				return parseSnapshotRow(row);
			} catch {
				// An older snapshot and the changes after it yield the same configuration.
			}
		}

		return undefined;
	};

	const readConfiguration = async (
		version: number,
	): Promise<FleetConfiguration | undefined> => {
		const snapshot = await readSnapshot();
		let configuration =
			snapshot && snapshot.version <= version ? snapshot : emptyConfiguration;
		while (configuration.version < version) {
			const {changes, rowProblem} = await readPage(configuration.version);
			for (const change of changes) {
				if (change.version <= version) {
					configuration = applyChange(configuration, change);
				}
			}

			if (rowProblem ?? changes.length === 0) {
				return undefined;
			}
		}

		return configuration;
	};

	return {readChange, readPage, readSnapshot, readConfiguration};
}
