import type {SharedEntry} from './types.js';

/** True if entry `one` replaces entry `other`: by incarnation, then by counter. */
export function isNewer(one: SharedEntry, other: SharedEntry): boolean {
	return one.incarnation === other.incarnation
		? one.counter > other.counter
		: one.incarnation > other.incarnation;
}
