import type {SharedEntry} from './types.js';

/** True if `one` replaces `other`. */
export function isNewer(one: SharedEntry, other: SharedEntry): boolean {
	return one.incarnation === other.incarnation
		? one.counter > other.counter
		: one.incarnation > other.incarnation;
}
