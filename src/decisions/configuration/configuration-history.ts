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

/** A bounded part of the history. */
export type ChangePage = {
	/** Changes in order, without a gap, up to the first row that cannot be read. */
	readonly changes: readonly ConfigurationChange[];
	/** The first row that is malformed or missing. */
	readonly rowProblem: ProblemError | undefined;
	/** Whether the table service had no more rows. */
	readonly isLast: boolean;
};

/** Reads the history of the configuration. */
export type ConfigurationHistory = {
	readChange(version: number): Promise<ConfigurationChange | undefined>;
	readPage(version: number): Promise<ChangePage>;
	readSnapshot(): Promise<FleetConfiguration | undefined>;
	/** The configuration at a version, or undefined if the history cannot be read. */
	readConfiguration(version: number): Promise<FleetConfiguration | undefined>;
};

// The snapshot before the latest stays, in case that the latest cannot be read. Older ones go, also
// those that stayed because a snapshot in between could not be written.

/** Snapshots that stay. */
export const keptSnapshotCount = 2;

/** Older snapshots that are removed with each new one. */
export const removedSnapshotCount = 8;

/** Creates the reading side of a store. */
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
				// An older snapshot and the changes after it hold the same configuration.
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
