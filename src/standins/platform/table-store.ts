import type {
	ConditionalResult,
	ConditionalWrite,
	ListOptions,
	Row,
} from '../../common/index.js';

/** Rows in memory with one revision counter, as the table service keeps them. */
export type TableStore = {
	get(key: string): Row | undefined;
	list(prefix: string, options: ListOptions): readonly Row[];
	commit(batch: readonly ConditionalWrite[]): readonly ConditionalResult[];
};

/** Creates an empty store. */
export function createTableStore(): TableStore {
	const rows = new Map<string, Row>();
	let revision = 0;

	const apply = (
		write: ConditionalWrite,
		version: number,
	): ConditionalResult => {
		const holds = write.checks.every(
			(check) => (rows.get(check.key)?.version ?? 0) === check.version,
		);
		if (!holds) {
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
