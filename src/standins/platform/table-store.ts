import type {
	ConditionalResult,
	ConditionalWrite,
	ListOptions,
	Row,
} from '../../common/index.js';

/** In-memory table with one revision counter for all rows; it behaves like the table service. */
export type TableStore = {
	get(key: string): Row | undefined;
	list(prefix: string, options: ListOptions): readonly Row[];
	/** Executes conditional writes under one new revision. Each commits or fails by its own checks. */
	commit(batch: readonly ConditionalWrite[]): readonly ConditionalResult[];
};

export function createTableStore(): TableStore {
	const rows = new Map<string, Row>();
	let revision = 0;

	const apply = (
		write: ConditionalWrite,
		version: number,
	): ConditionalResult => {
		const doAllChecksHold = write.checks.every(
			(check) => (rows.get(check.key)?.version ?? 0) === check.version,
		);
		if (!doAllChecksHold) {
			const current = write.checks
				.map((check) => rows.get(check.key))
				.filter((row): row is Row => row !== undefined);
			return {committed: false, current};
		}

		for (const {key, value} of write.writes) {
			if (value === undefined) {
				rows.delete(key);
			} else {
				rows.set(key, {key, value, version});
			}
		}

		return {committed: true, version};
	};

	return {
		get(key) {
			return rows.get(key);
		},
		list(prefix, {limit, after = ''}) {
			return [...rows.values()]
				.filter((row) => row.key.startsWith(prefix) && row.key > after)
				.sort((a, b) => (a.key < b.key ? -1 : 1))
				.slice(0, limit);
		},
		commit(batch) {
			revision++;
			return batch.map((write) => apply(write, revision));
		},
	};
}
