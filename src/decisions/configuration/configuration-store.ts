import {
	ProblemError,
	type RowWrite,
	type TableService,
	toProblem,
} from '../../common/index.js';
import {
	encodeSnapshot,
	snapshotRowKey,
	versionRowKey,
} from './configuration-codec.js';
import {
	type ChangePage,
	createConfigurationHistory,
	keptSnapshotCount,
	removedSnapshotCount,
} from './configuration-history.js';
import {
	applyChange,
	checkConfiguration,
	checkEdit,
} from './fleet-configuration.js';
import type {
	ConfigurationChange,
	ConfigurationCheck,
	ConfigurationEdit,
	FleetConfiguration,
} from './types.js';

const headKey = 'config/head';
const maxEdits = 200;

/** Reads and writes the configuration's versions in the table service. */
export type ConfigurationStore = {
	/**
	 * Version that the table service has; 0 before the first change.
	 * @throws ProblemError `table-corrupt-row` if the row is malformed
	 */
	headVersion(): Promise<number>;
	/**
	 * A page of changes after a version, oldest first.
	 * @throws ProblemError `table-corrupt-row` if the next row is malformed
	 */
	changesAfter(version: number): Promise<readonly ConfigurationChange[]>;
	/** Like `changesAfter`, but reports a malformed row beside the changes before it. */
	readPage(version: number): Promise<ChangePage>;
	/** Latest whole configuration that can be read, if there is any. */
	readSnapshot(): Promise<FleetConfiguration | undefined>;
	/**
	 * Commits a change on top of a version. A change id that is in the latest page of the history
	 * counts as committed, so that a proposal can be repeated after a lost answer.
	 * @throws ProblemError `configuration-conflict` whose details hold the other change
	 */
	commit(proposal: ChangeProposal): Promise<ConfigurationChange>;
};

/** A change that an operator asks for. */
export type ChangeProposal = {
	readonly baseVersion: number;
	readonly changeId: string;
	readonly author: string;
	readonly atWallMs: number;
	readonly edits: readonly ConfigurationEdit[];
};

/** Options of a store. */
export type ConfigurationStoreOptions = {
	/** Rows read at once. */
	readonly pageRows?: number;
	/** A whole configuration is written every so many versions. */
	readonly snapshotEvery?: number;
	/** Checks left out; for tests only. */
	readonly omittedChecks?: ReadonlySet<ConfigurationCheck>;
};

const defaultPageRows = 200;
const defaultSnapshotEvery = 64;

/** Creates a store over a table service. */
export function createConfigurationStore(
	table: TableService,
	options: ConfigurationStoreOptions = {},
): ConfigurationStore {
	const {
		pageRows = defaultPageRows,
		snapshotEvery = defaultSnapshotEvery,
		omittedChecks,
	} = options;

	const readHead = async () => {
		const row = await table.get(headKey);
		const version = row ? Number(row.value) : 0;
		if (!Number.isSafeInteger(version) || version < 0) {
			throw new ProblemError(
				'table-corrupt-row',
				`row "${headKey}" holds no version`,
				{field: headKey},
			);
		}

		return {version, rowVersion: row?.version ?? 0};
	};

	const {readChange, readPage, readSnapshot, readConfiguration} =
		createConfigurationHistory(table, pageRows);

	/** Looks for a proposal in the latest part of the history. */
	const findWritten = async (
		proposal: ChangeProposal,
		headVersion: number,
	): Promise<ConfigurationChange | undefined> => {
		const {changes} = await readPage(Math.max(0, headVersion - pageRows));
		return changes.find(
			(change) =>
				change.changeId === proposal.changeId ||
				(change.version === proposal.baseVersion + 1 &&
					omittedChecks?.has('change-id')),
		);
	};

	/** Finds the proposal in the history, or tells its author who was first. */
	const findOwn = async (
		proposal: ChangeProposal,
		otherwise?: Error,
	): Promise<ConfigurationChange> => {
		const head = await readHead();
		const written = await findWritten(proposal, head.version);
		if (written) {
			return written;
		}

		const otherChange = await readChange(proposal.baseVersion + 1);
		if (otherChange?.changeId === proposal.changeId) {
			return otherChange;
		}

		if (!otherChange && otherwise) {
			throw otherwise;
		}

		throw new ProblemError(
			'configuration-conflict',
			`version ${proposal.baseVersion + 1} was written by somebody else`,
			{details: {otherChange}},
		);
	};

	const checkProposal = (proposal: ChangeProposal): ConfigurationChange => {
		const {changeId, author, atWallMs} = proposal;
		if (proposal.edits.length === 0 || proposal.edits.length > maxEdits) {
			throw new ProblemError(
				'invalid-configuration',
				`a change allows: 1 to ${maxEdits} edits`,
				{field: 'edits'},
			);
		}

		return {
			version: proposal.baseVersion + 1,
			changeId,
			author,
			atWallMs,
			edits: proposal.edits.map((edit) => checkEdit(edit)),
		};
	};

	/** Writes of the snapshot that is due with a change. */
	const snapshotWrites = (next: FleetConfiguration): readonly RowWrite[] => {
		if (next.version % snapshotEvery !== 0) {
			return [];
		}

		const writes: RowWrite[] = [
			{key: snapshotRowKey(next.version), value: encodeSnapshot(next)},
		];
		for (
			let age = keptSnapshotCount;
			age < keptSnapshotCount + removedSnapshotCount;
			age++
		) {
			const version = next.version - age * snapshotEvery;
			if (version > 0) {
				writes.push({key: snapshotRowKey(version), value: undefined});
			}
		}

		return writes;
	};

	const write = async (
		change: ConfigurationChange,
		headRowVersion: number,
	): Promise<boolean> => {
		const base = await readConfiguration(change.version - 1);
		const next = base && applyChange(base, change);
		if (next) {
			checkConfiguration(next);
		}

		const [result] = await table.commit([
			{
				checks: omittedChecks?.has('head-version')
					? []
					: [
							{key: headKey, version: headRowVersion},
							{key: versionRowKey(change.version), version: 0},
						],
				writes: [
					{key: headKey, value: String(change.version)},
					{key: versionRowKey(change.version), value: JSON.stringify(change)},
					...(next ? snapshotWrites(next) : []),
				],
			},
		]);
		return result.committed;
	};

	return {
		async headVersion() {
			const head = await readHead();
			return head.version;
		},
		async changesAfter(version) {
			const {changes, rowProblem} = await readPage(version);
			if (rowProblem && changes.length === 0) {
				throw rowProblem;
			}

			return changes;
		},
		readPage,
		readSnapshot,
		async commit(proposal) {
			const change = checkProposal(proposal);
			const head = await readHead();
			if (head.version < proposal.baseVersion) {
				throw new ProblemError(
					'invalid-configuration',
					`version ${proposal.baseVersion} does not exist; the latest is ${head.version}`,
					{field: 'baseVersion'},
				);
			}

			const written = await findWritten(proposal, head.version);
			if (written) {
				return written;
			}

			if (head.version > proposal.baseVersion) {
				return findOwn(proposal);
			}

			try {
				if (await write(change, head.rowVersion)) {
					return change;
				}
			} catch (error) {
				const problem = toProblem(error);
				if (problem.type !== 'table-outcome-unknown') {
					throw error;
				}

				return findOwn(proposal, problem);
			}

			return findOwn(proposal);
		},
	};
}
