import {ProblemError, type Row} from '../../common/index.js';

/**
 * Unloads of one model that are in flight. The transaction that issues an unload checks and
 * rewrites this row; otherwise two VMs could each unload a replica and rely on the one that the other
 * removes.
 */
export type PendingUnloads = {
	/** Targets whose replica may be unloaded at any moment. */
	readonly targetIds: readonly string[];
};

/** Key of the row of a model's pending unloads. */
export function pendingUnloadsKey(model: string): string {
	return `unload/${encodeURIComponent(model)}`;
}

/**
 * Parses the row; an absent row means that no unload is pending.
 * @throws ProblemError `table-corrupt-row`
 */
export function parsePendingUnloads(row: Row | undefined): PendingUnloads {
	if (!row) {
		return {targetIds: []};
	}

	try {
		const pending = JSON.parse(row.value) as PendingUnloads;
		return {targetIds: pending.targetIds.map(String)};
	} catch (error) {
		throw new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" is not a valid list of pending unloads`,
			{field: row.key, cause: error as Error},
		);
	}
}

/**
 * Value of the row after a change.
 * @returns undefined if no unload is pending any more and the row is to be deleted
 */
export function pendingUnloadsValue(
	pending: PendingUnloads,
	change: {readonly add?: string; readonly remove?: string},
): string | undefined {
	const targetIds = new Set(pending.targetIds);
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
 * Check before an unload: true if enough replicas of the model remain. Replicas on targets with a
 * pending unload do not count.
 * @param targetId - target that is to unload the model
 * @param liveTargetIds - targets that were seen recently with the model and are not leaving
 * @param requiredCount - replicas that have to remain
 */
export function keepsEnoughReplicas(
	pending: PendingUnloads,
	targetId: string,
	liveTargetIds: readonly string[],
	requiredCount: number,
): boolean {
	const remaining = liveTargetIds.filter(
		(id) => id !== targetId && !pending.targetIds.includes(id),
	);
	return remaining.length >= requiredCount;
}
