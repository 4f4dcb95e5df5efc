import {ProblemError, type Row} from '../../common/index.js';

/**
 * Unloads in flight of one model. Its row is checked and rewritten in the transaction that announces
 * an unload, so that two VMs cannot each count on the copy that the other removes.
 */
export type PendingUnloads = {
	/** Targets whose copy may be removed at any moment. */
	readonly targetIds: readonly string[];
};

/** Key of a model's row. */
export function pendingUnloadsKey(model: string): string {
	return `unload/${encodeURIComponent(model)}`;
}

/**
 * Reads the row; an absent row names no target.
 * @throws ProblemError `table-corrupt-row`
 */
export function parsePendingUnloads(row: Row | undefined): PendingUnloads {
	if (!row) {
		return {targetIds: []};
	}

	try {
		const ledger = JSON.parse(row.value) as PendingUnloads;
		return {targetIds: ledger.targetIds.map(String)};
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" holds no valid list of unloads`,
			{field: row.key, cause: error as Error},
		);
	}
}

/** Value of the row with one more target, or undefined if the row is to be deleted. */
export function pendingUnloadsValue(
	ledger: PendingUnloads,
	change: {readonly add?: string; readonly remove?: string},
): string | undefined {
	const targetIds = new Set(ledger.targetIds);
	if (change.add !== undefined) {
		targetIds.add(change.add);
	}

	if (change.remove !== undefined) {
		targetIds.delete(change.remove);
	}

	return targetIds.size === 0
		? undefined
		: JSON.stringify({targetIds: [...targetIds].sort()});
}

/**
 * The copy check: an unload needs another copy that stays.
 * @param targetId - target that is to unload the model
 * @param liveTargetIds - targets that were seen recently with the model and are not leaving
 */
export function keepsEnoughReplicas(
	ledger: PendingUnloads,
	targetId: string,
	liveTargetIds: readonly string[],
	keptCount: number,
): boolean {
	const staying = liveTargetIds.filter(
		(id) => id !== targetId && !ledger.targetIds.includes(id),
	);
	return staying.length >= keptCount;
}
