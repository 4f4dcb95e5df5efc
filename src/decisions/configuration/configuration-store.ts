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
	 * Latest version in the table service; 0 before the first change.
	 * @throws ProblemError `table-corrupt-row` if the head row is malformed
	 */
	headVersion(): Promise<number>;
	/**
	 * A page of changes after a version, oldest first, up to the first malformed row.
	 * @throws ProblemError `table-corrupt-row` if the first row of the page is malformed
	 */
	changesAfter(version: number): Promise<readonly ConfigurationChange[]>;
	/** Like `changesAfter`, but returns the problem of a malformed row along with the changes before it. */
	readPage(version: number): Promise<ChangePage>;
	/** Latest snapshot that is not malformed, if there is one. */
	readSnapshot(): Promise<FleetConfiguration | undefined>;
	/**
	 * Commits a change on top of a version. If the latest page of the history has the proposal's change id, that
	 * change is returned, so that a proposal can be retried when its response was lost.
	 * @throws ProblemError `configuration-conflict` whose details hold the other change, `invalid-configuration`,
	 * `table-corrupt-row`, or `table-outcome-unknown` if no change of the version can be found afterwards
	 */
	commit(proposal: ChangeProposal): Promise<ConfigurationChange>;
};

/** A change that an operator requests, based on the version that the operator has seen. */
export type ChangeProposal = {
	readonly baseVersion: number;
	readonly changeId: string;
	readonly author: string;
	readonly atWallMs: number;
	readonly edits: readonly ConfigurationEdit[];
};

export type ConfigurationStoreOptions = {
	/** Maximum number of rows in one read. */
	readonly pageRows?: number;
	/** Interval between snapshots, in versions. */
	readonly snapshotEvery?: number;
	/** Safety checks that are disabled; for tests only. */
	readonly omittedChecks?: ReadonlySet<ConfigurationCheck>;
};

const defaultPageRows = 200;
const defaultSnapshotEvery = 64;

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
				`row "${headKey}" does not hold a version number`,
				{field: headKey},
			);
		}

		return {version, rowVersion: row?.version ?? 0};
	};

	const {readChange, readPage, readSnapshot, readConfiguration} =
		createConfigurationHistory(table, pageRows);

	// Looks for a proposal in the latest page of the history.
	const findCommitted = async (
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

	// Returns the proposal's change if it was committed. Otherwise throws a conflict with the change that was, or
	// `unknownOutcome` if no change of this version can be found.
	const findCommittedOrThrow = async (
		proposal: ChangeProposal,
		unknownOutcome?: Error,
	): Promise<ConfigurationChange> => {
		const head = await readHead();
		const committed = await findCommitted(proposal, head.version);
		if (committed) {
			return committed;
		}

		const otherChange = await readChange(proposal.baseVersion + 1);
		if (otherChange?.changeId === proposal.changeId) {
			return otherChange;
		}

		if (!otherChange && unknownOutcome) {
			throw unknownOutcome;
		}

		throw new ProblemError(
			'configuration-conflict',
			`version ${proposal.baseVersion + 1} already holds another change`,
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

	// Row writes of the snapshot that is due at a version, including the removal of old snapshots.
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

	const writeChange = async (
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

			const committed = await findCommitted(proposal, head.version);
			if (committed) {
				return committed;
			}

			if (head.version > proposal.baseVersion) {
				return findCommittedOrThrow(proposal);
			}

			try {
				if (await writeChange(change, head.rowVersion)) {
					return change;
				}
			} catch (error) {
				const problem = toProblem(error);
				if (problem.type !== 'table-outcome-unknown') {
					throw error;
				}

				return findCommittedOrThrow(proposal, problem);
			}

			return findCommittedOrThrow(proposal);
		},
	};
}
