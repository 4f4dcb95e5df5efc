/** Record that an engine has a prompt prefix in its cache. */
export type CachedPrefix = {
	/** Monotonic time at which the prefix was last known to be cached, in milliseconds. */
	readonly atMs: number;
	/** Total number of missed cache events of the engine at that time. */
	readonly missedEventCount: number;
};

/** Records of one prefix, indexed by the slot of the engine. */
export type PrefixRow = ReadonlyArray<CachedPrefix | undefined>;

/**
 * Cached prefixes of all engines, indexed by prefix, so that a placement looks up each prefix once and not
 * once for each engine.
 */
export type PrefixIndex = {
	/** Number of prefixes. */
	readonly size: number;
	/** Rows of the leading prefixes, up to the first that no engine has cached. */
	rowsOf(prefixHashes: readonly string[]): readonly PrefixRow[];
	set(prefixHash: string, slot: number, cachedPrefix: CachedPrefix): void;
	delete(prefixHash: string, slot: number): void;
};

type Row = {
	readonly engines: Array<CachedPrefix | undefined>;
	/** Number of engines that have the prefix. */
	count: number;
};

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

				found.push(row.engines);
			}

			return found;
		},
		set(prefixHash, slot, cachedPrefix) {
			let row = rows.get(prefixHash);
			if (!row) {
				row = {engines: [], count: 0};
				rows.set(prefixHash, row);
			}

			while (row.engines.length <= slot) {
				row.engines.push(undefined);
			}

			row.count += row.engines[slot] ? 0 : 1;
			row.engines[slot] = cachedPrefix;
		},
		delete(prefixHash, slot) {
			const row = rows.get(prefixHash);
			if (row?.engines[slot]) {
				row.engines[slot] = undefined;
				row.count--;
				if (row.count === 0) {
					rows.delete(prefixHash);
				}
			}
		},
	};
}
