import type {HeaderPair} from './types.js';

/** Converts the flat list of names and values of Node.js (`rawHeaders`) to pairs. */
export function headerPairs(flat: readonly string[]): HeaderPair[] {
	const pairs: HeaderPair[] = [];
	for (let index = 0; index + 1 < flat.length; index += 2) {
		pairs.push([flat[index], flat[index + 1]]);
	}

	return pairs;
}
