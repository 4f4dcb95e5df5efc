import {reachOf} from './entry-scope.js';
import type {MembershipRules} from './membership-rules.js';
import type {EntryReach, SharedEntry} from './types.js';

/** Newest known entries, with those that still have to be passed on. */
export type EntryStore = {
	readonly size: number;
	/** Entries that wait to be passed on. */
	readonly pendingCount: number;
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
	readonly closeness: EntryReach;
	readonly maxBytes: number;
	readonly maxRepeatBytes: number;
	readonly sizeOf: (entry: SharedEntry) => number;
};

type Held = {entry: SharedEntry; sendsLeft: number};

const identity = (kind: string, scope: string, key: string) =>
	`${kind} ${scope} ${key}`;
const identityOf = (entry: SharedEntry) =>
	identity(entry.kind, entry.scope, entry.key);

/** True if `one` replaces `other`. */
export function isNewer(one: SharedEntry, other: SharedEntry): boolean {
	return one.incarnation === other.incarnation
		? one.counter > other.counter
		: one.incarnation > other.incarnation;
}

// Pending entries that may not travel to a peer are skipped; the bound keeps a message cheap.
const maxScanned = 400;
const minEntryBytes = 16;
const maxRepeatScan = 64;

/** Creates an empty store. */
export function createEntryStore(
	rules: Pick<MembershipRules, 'isNewer' | 'travelsTo'>,
): EntryStore {
	const entries = new Map<string, Held>();
	const urgent = new Map<string, Held>();
	const pending = new Map<string, Held>();
	let repeatCursor: IterableIterator<Held> = entries.values();

	const queueOf = (entry: SharedEntry) =>
		entry.kind === 'leaving' ? urgent : pending;

	const drop = (id: string) => {
		entries.delete(id);
		urgent.delete(id);
		pending.delete(id);
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
			if (!rules.travelsTo(held.entry, options.closeness) || size > left) {
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

			if (rules.travelsTo(held.entry, options.closeness)) {
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
			return urgent.size + pending.size;
		},
		put(entry, sendCount) {
			const id = identityOf(entry);
			const held = entries.get(id);
			if (held && !rules.isNewer(entry, held.entry)) {
				return false;
			}

			const next = {entry, sendsLeft: sendCount};
			entries.set(id, next);
			// A pending entry keeps its place: one that changes often would otherwise never be sent.
			if (sendCount > 0) {
				queueOf(entry).set(id, next);
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
				if (entry.scope === scope && reachOf(entry) !== 'fleet') {
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
			let left = pickPending(urgent, picked, options, options.maxBytes);
			left = pickPending(pending, picked, options, left);
			pickRepeats(picked, options, Math.min(left, options.maxRepeatBytes));
			return [...picked.values()];
		},
	};
}
