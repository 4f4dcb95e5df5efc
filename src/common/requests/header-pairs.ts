import type {HeaderPair} from './types.js';

/** Pairs up the flat list of names and values that Node's parser gives. */
export function headerPairs(flat: readonly string[]): HeaderPair[] {
	const pairs: HeaderPair[] = [];
	for (let index = 0; index + 1 < flat.length; index += 2) {
		pairs.push([flat[index], flat[index + 1]]);
	}

	return pairs;
}
