import {ProblemError, type TableService} from '../../common/index.js';
import {checkEdit} from './fleet-configuration.js';
import type {ConfigurationChange, ConfigurationEdit} from './types.js';

const headKey = 'config/head';
const versionPrefix = 'config/version/';
const versionDigits = 12;
const pageRows = 500;

/** Reads and writes the configuration's versions in the table service. */
export type ConfigurationStore = {
	/** Version that the table service has; 0 before the first change. */
	headVersion(): Promise<number>;
	/**
	 * Changes after a version, oldest first.
	 * @throws ProblemError `table-corrupt-row` if a row is malformed
	 */
	changesAfter(version: number): Promise<readonly ConfigurationChange[]>;
	/**
	 * Commits a change on top of a version.
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

function rowKey(version: number): string {
	return versionPrefix + String(version).padStart(versionDigits, '0');
}

function parseChange(key: string, text: string): ConfigurationChange {
	try {
		const change = JSON.parse(text) as ConfigurationChange;
		for (const edit of change.edits) {
			checkEdit(edit);
		}

		if (rowKey(change.version) === key) {
			return change;
		}
	} catch {
		// Reported below, like a row with the wrong version.
	}

	throw new ProblemError(
		'table-corrupt-row',
		`row "${key}" holds no valid change`,
		{field: key},
	);
}

/** Creates a store over a table service. */
export function createConfigurationStore(
	table: TableService,
): ConfigurationStore {
	const readHead = async () => {
		const row = await table.get(headKey);
		return {
			version: row ? Number(row.value) : 0,
			rowVersion: row?.version ?? 0,
		};
	};

	const readChange = async (version: number) => {
		const row = await table.get(rowKey(version));
		return row && parseChange(row.key, row.value);
	};

	const conflict = async (proposal: ChangeProposal) =>
		new ProblemError(
			'configuration-conflict',
			`version ${proposal.baseVersion + 1} was written by somebody else`,
			{details: {otherChange: await readChange(proposal.baseVersion + 1)}},
		);

	return {
		async headVersion() {
			const head = await readHead();
			return head.version;
		},
		async changesAfter(version) {
			const rows = await table.list(versionPrefix, {
				after: rowKey(version),
				limit: pageRows,
			});
			return rows.map((row) => parseChange(row.key, row.value));
		},
		async commit(proposal) {
			const edits = proposal.edits.map((edit) => checkEdit(edit));
			const version = proposal.baseVersion + 1;
			const {changeId, author, atWallMs} = proposal;
			const change: ConfigurationChange = {
				version,
				changeId,
				author,
				atWallMs,
				edits,
			};
			const head = await readHead();
			if (head.version !== proposal.baseVersion) {
				throw await conflict(proposal);
			}

			try {
				const [result] = await table.commit([
					{
						checks: [
							{key: headKey, version: head.rowVersion},
							{key: rowKey(version), version: 0},
						],
						writes: [
							{key: headKey, value: String(version)},
							{key: rowKey(version), value: JSON.stringify(change)},
						],
					},
				]);
				if (!result.committed) {
					throw await conflict(proposal);
				}
			} catch (error) {
				if (!(
					error instanceof ProblemError &&
					error.type === 'table-outcome-unknown'
				)) {
					throw error;
				}

				const written = await readChange(version);
				if (written?.changeId !== changeId) {
					throw written ? await conflict(proposal) : error;
				}
			}

			return change;
		},
	};
}
