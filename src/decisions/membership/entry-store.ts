import {maxDistanceOf} from './entry-scope.js';
import type {MembershipRules} from './membership-rules.js';
import type {Distance, SharedEntry} from './types.js';

/** Newest known version of every entry, and the queue of entries that still have to be sent to peers. */
export type EntryStore = {
	readonly size: number;
	/** Number of pending entries: those queued to be sent to peers. */
	readonly pendingCount: number;
	/** Number of pending entries that are sent before an entry with these values or have the same priority. */
	countPendingAhead(entry: Pick<SharedEntry, 'kind' | 'values'>): number;
	/**
	 * Stores an entry if it is newer than the stored version, and queues it.
	 * @param sendCount - number of messages that shall carry it
	 * @returns true if it was newer
	 */
	put(entry: SharedEntry, sendCount: number): boolean;
	get(
		kind: SharedEntry['kind'],
		scope: string,
		key: string,
	): SharedEntry | undefined;
	remove(entry: SharedEntry): void;
	/** Removes the entries of a scope, apart from those that concern the whole fleet. */
	removeScope(scope: string): void;
	values(): Iterable<SharedEntry>;
	/**
	 * Picks entries for one message: pending ones by priority, `leaving` entries first, then a few of all stored
	 * entries in turn, so that a VM that missed an entry receives it later.
	 */
	pick(options: PickOptions): SharedEntry[];
};

/** Receiver and size limits of one message. */
export type PickOptions = {
	readonly distance: Distance;
	readonly maxBytes: number;
	/** Part of `maxBytes` that is reserved for entries repeated in turn. */
	readonly maxRepeatBytes: number;
	/** Bytes that an entry takes in the message. */
	readonly sizeOf: (entry: SharedEntry) => number;
};

type StoredEntry = {
	entry: SharedEntry;
	remainingSends: number;
	readonly priority: number;
};

// Priorities of the queue, 0 first: `leaving` entries, then usage and activity by their size.
const urgentPriority = 0;
const priorityCount = 10;
const prioritiesPerDoubling = 0.75;

/**
 * Queue priority of an entry, 0 first. If there are more entries than the messages can carry, the largest usage
 * and activity values are sent first and the others with the repeats.
 */
function priorityOf({
	kind,
	values,
}: Pick<SharedEntry, 'kind' | 'values'>): number {
	if (kind === 'leaving') {
		return urgentPriority;
	}

	// Activity values begin with the first two of these; usage values have their rate at index 3.
	const [openCount = 0, openTokens = 0, , tokensPerSecond = 0] = values;
	const size =
		kind === 'usage' ? tokensPerSecond : openCount + openTokens / 100;
	const steps = Math.floor(prioritiesPerDoubling * Math.log2(1 + size));
	return Math.max(1, priorityCount - 1 - steps);
}

const identity = (kind: string, scope: string, key: string) =>
	`${kind} ${scope} ${key}`;
const identityOf = (entry: SharedEntry) =>
	identity(entry.kind, entry.scope, entry.key);

// Pending entries that may not be sent to the peer are skipped; this limits the scan of each queue.
const maxScannedPerQueue = 400;
const minRemainingBytes = 16;
const maxRepeatScan = 64;

export function createEntryStore(
	rules: Pick<MembershipRules, 'isNewer' | 'mayPropagateTo'>,
): EntryStore {
	const entries = new Map<string, StoredEntry>();
	const queues = Array.from(
		{length: priorityCount},
		() => new Map<string, StoredEntry>(),
	);
	let repeatCursor: IterableIterator<StoredEntry> = entries.values();

	const drop = (id: string) => {
		const stored = entries.get(id);
		if (stored) {
			entries.delete(id);
			queues[stored.priority].delete(id);
		}
	};

	const pickPending = (
		queue: Map<string, StoredEntry>,
		picked: Map<string, SharedEntry>,
		options: PickOptions,
		budgetBytes: number,
	) => {
		let leftBytes = budgetBytes;
		let scanned = 0;
		const sent: Array<[string, StoredEntry]> = [];
		for (const [id, stored] of queue) {
			if (scanned++ >= maxScannedPerQueue || leftBytes < minRemainingBytes) {
				break;
			}

			const size = options.sizeOf(stored.entry);
			if (
				!rules.mayPropagateTo(stored.entry, options.distance) ||
				size > leftBytes
			) {
				continue;
			}

			leftBytes -= size;
			picked.set(id, stored.entry);
			sent.push([id, stored]);
		}

		for (const [id, stored] of sent) {
			queue.delete(id);
			stored.remainingSends--;
			if (stored.remainingSends > 0) {
				queue.set(id, stored);
			}
		}

		return leftBytes;
	};

	const pickRepeats = (
		picked: Map<string, SharedEntry>,
		options: PickOptions,
		budgetBytes: number,
	) => {
		let leftBytes = budgetBytes;
		for (
			let scanned = 0;
			scanned < Math.min(entries.size, maxRepeatScan);
			scanned++
		) {
			let next = repeatCursor.next();
			if (next.done) {
				repeatCursor = entries.values();
				next = repeatCursor.next();
			}

			const stored = next.value as StoredEntry | undefined;
			if (!stored) {
				return;
			}

			const size = options.sizeOf(stored.entry);
			if (size > leftBytes) {
				return;
			}

			if (rules.mayPropagateTo(stored.entry, options.distance)) {
				picked.set(identityOf(stored.entry), stored.entry);
				leftBytes -= size;
			}
		}
	};

	return {
		get size() {
			return entries.size;
		},
		get pendingCount() {
			return queues.reduce((sum, queue) => sum + queue.size, 0);
		},
		countPendingAhead(entry) {
			let count = 0;
			for (const queue of queues.slice(0, priorityOf(entry) + 1)) {
				count += queue.size;
			}

			return count;
		},
		put(entry, sendCount) {
			const id = identityOf(entry);
			const stored = entries.get(id);
			if (stored && !rules.isNewer(entry, stored.entry)) {
				return false;
			}

			const next = {
				entry,
				remainingSends: sendCount,
				priority: priorityOf(entry),
			};
			entries.set(id, next);
			if (stored && stored.priority !== next.priority) {
				queues[stored.priority].delete(id);
			}

			// A pending entry keeps its position in the queue; one that changes often would otherwise never be sent.
			if (sendCount > 0) {
				queues[next.priority].set(id, next);
			}

			return true;
		},
		get(kind, scope, key) {
			return entries.get(identity(kind, scope, key))?.entry;
		},
		remove(entry) {
			drop(identityOf(entry));
		},
		removeScope(scope) {
			for (const [id, {entry}] of entries) {
				if (entry.scope === scope && maxDistanceOf(entry) !== 'fleet') {
					drop(id);
				}
			}
		},
		*values() {
			for (const {entry} of entries.values()) {
				yield entry;
			}
		},
		pick(options) {
			const picked = new Map<string, SharedEntry>();
			let leftBytes = options.maxBytes - options.maxRepeatBytes;
			for (const queue of queues) {
				leftBytes = pickPending(queue, picked, options, leftBytes);
			}

			pickRepeats(picked, options, options.maxRepeatBytes);
			return [...picked.values()];
		},
	};
}
