import {maxDistanceOf} from './entry-scope.js';
import type {MembershipRules} from './membership-rules.js';
import type {Distance, SharedEntry} from './types.js';

/** Newest known entries, with those that still have to be passed on. */
export type EntryStore = {
	readonly size: number;
	/** Entries that wait to be passed on. */
	readonly pendingCount: number;
	/** Entries that wait and would be sent before one with these values, or in turn with it. */
	countPendingAhead(entry: Pick<SharedEntry, 'kind' | 'values'>): number;
	/**
	 * Takes an entry if it is newer than the one held.
	 * @param sendCount - to how many peers it is passed on
	 * @returns true if it was newer
	 */
	put(entry: SharedEntry, sendCount: number): boolean;
	get(
		kind: SharedEntry['kind'],
		scope: string,
		key: string,
	): SharedEntry | undefined;
	remove(entry: SharedEntry): void;
	/** Drops every entry of a scope. */
	removeScope(scope: string): void;
	values(): Iterable<SharedEntry>;
	/**
	 * Picks entries for one message: pending ones first, marks of leaving targets ahead of everything, then a
	 * few others in turn so that a VM that missed an entry gets it later.
	 * @param sizeOf - bytes that an entry takes in the message
	 */
	pick(options: PickOptions): SharedEntry[];
};

/** Bounds of one message. */
export type PickOptions = {
	readonly distance: Distance;
	readonly maxBytes: number;
	readonly maxRepeatBytes: number;
	readonly sizeOf: (entry: SharedEntry) => number;
};

type Held = {entry: SharedEntry; sendsLeft: number; readonly band: number};

/** Bands of the queue: marks of leaving targets first, then figures by their size. */
const urgentBand = 0;
const bandCount = 10;
const bandsPerDoubling = 0.75;

/**
 * Band of an entry. With more entries than the messages can carry, those that say most about use and load
 * go first; the others travel with the repeats.
 */
function bandOf({kind, values}: Pick<SharedEntry, 'kind' | 'values'>): number {
	if (kind === 'leaving') {
		return urgentBand;
	}

	const [first = 0, second = 0, , perSecond = 0] = values;
	const size = kind === 'usage' ? perSecond : first + second / 100;
	const doublings = Math.floor(bandsPerDoubling * Math.log2(1 + size));
	return Math.max(1, bandCount - 1 - doublings);
}

const identity = (kind: string, scope: string, key: string) =>
	`${kind} ${scope} ${key}`;
const identityOf = (entry: SharedEntry) =>
	identity(entry.kind, entry.scope, entry.key);

// Pending entries that may not travel to a peer are skipped; the bound keeps a message cheap.
const maxScanned = 400;
const minEntryBytes = 16;
const maxRepeatScan = 64;

/** Creates an empty store. */
export function createEntryStore(
	rules: Pick<MembershipRules, 'isNewer' | 'mayPropagateTo'>,
): EntryStore {
	const entries = new Map<string, Held>();
	const queues = Array.from({length: bandCount}, () => new Map<string, Held>());
	let repeatCursor: IterableIterator<Held> = entries.values();

	const drop = (id: string) => {
		const held = entries.get(id);
		if (held) {
			entries.delete(id);
			queues[held.band].delete(id);
		}
	};

	const pickPending = (
		queue: Map<string, Held>,
		picked: Map<string, SharedEntry>,
		options: PickOptions,
		budget: number,
	) => {
		let left = budget;
		let scanned = 0;
		const sent: Array<[string, Held]> = [];
		for (const [id, held] of queue) {
			if (scanned++ >= maxScanned || left < minEntryBytes) {
				break;
			}

			const size = options.sizeOf(held.entry);
			if (!rules.mayPropagateTo(held.entry, options.distance) || size > left) {
				continue;
			}

			left -= size;
			picked.set(id, held.entry);
			sent.push([id, held]);
		}

		for (const [id, held] of sent) {
			queue.delete(id);
			held.sendsLeft--;
			if (held.sendsLeft > 0) {
				queue.set(id, held);
			}
		}

		return left;
	};

	const pickRepeats = (
		picked: Map<string, SharedEntry>,
		options: PickOptions,
		budget: number,
	) => {
		let left = budget;
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

			const held = next.value as Held | undefined;
			if (!held) {
				return;
			}

			const size = options.sizeOf(held.entry);
			if (size > left) {
				return;
			}

			if (rules.mayPropagateTo(held.entry, options.distance)) {
				picked.set(identityOf(held.entry), held.entry);
				left -= size;
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
			for (const queue of queues.slice(0, bandOf(entry) + 1)) {
				count += queue.size;
			}

			return count;
		},
		put(entry, sendCount) {
			const id = identityOf(entry);
			const held = entries.get(id);
			if (held && !rules.isNewer(entry, held.entry)) {
				return false;
			}

			const next = {entry, sendsLeft: sendCount, band: bandOf(entry)};
			entries.set(id, next);
			if (held && held.band !== next.band) {
				queues[held.band].delete(id);
			}

			// A pending entry keeps its place: one that changes often would otherwise never be sent.
			if (sendCount > 0) {
				queues[next.band].set(id, next);
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
			let left = options.maxBytes - options.maxRepeatBytes;
			for (const queue of queues) {
				left = pickPending(queue, picked, options, left);
			}

			pickRepeats(picked, options, options.maxRepeatBytes);
			return [...picked.values()];
		},
	};
}
