/** Belief that an engine holds a prefix. */
export type CachedPrefix = {
	/** Monotonic time of the news, in milliseconds. */
	readonly atMs: number;
	/** Events of the engine that were lost until then. */
	readonly missedEventCount: number;
};

/** Beliefs on one prefix, by slot of the engine. */
export type PrefixRow = ReadonlyArray<CachedPrefix | undefined>;

/**
 * Beliefs on all engines by prefix, so that a placement looks up each prefix once and not once for
 * each engine.
 */
export type PrefixIndex = {
	readonly size: number;
	/** Rows of the leading prefixes that some engine holds. */
	rowsOf(prefixHashes: readonly string[]): readonly PrefixRow[];
	set(prefixHash: string, slot: number, belief: CachedPrefix): void;
	delete(prefixHash: string, slot: number): void;
};

type Row = {
	readonly beliefs: Array<CachedPrefix | undefined>;
	count: number;
};

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
	const rows = new Map<string, Row>();
	return {
		get size() {
			return rows.size;
		},
		rowsOf(prefixHashes) {
			const found: PrefixRow[] = [];
			for (const hash of prefixHashes) {
				const row = rows.get(hash);
				if (!row) {
					break;
				}

				found.push(row.beliefs);
			}

			return found;
		},
		set(prefixHash, slot, belief) {
			let row = rows.get(prefixHash);
			if (!row) {
				row = {beliefs: [], count: 0};
				rows.set(prefixHash, row);
			}

			while (row.beliefs.length <= slot) {
				row.beliefs.push(undefined);
			}

			row.count += row.beliefs[slot] ? 0 : 1;
			row.beliefs[slot] = belief;
		},
		delete(prefixHash, slot) {
			const row = rows.get(prefixHash);
			if (row?.beliefs[slot]) {
				row.beliefs[slot] = undefined;
				row.count--;
				if (row.count === 0) {
					rows.delete(prefixHash);
				}
			}
		},
	};
}
