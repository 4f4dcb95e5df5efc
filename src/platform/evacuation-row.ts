import {tableNames} from './wire-names.js';

/**
 * Decodes the key of a row of the operator's table that requests the evacuation of an availability zone.
 * @returns the availability zone; undefined for all other rows
 */
export function decodeEvacuationKey(key: string): string | undefined {
	const {evacuationKeyPrefix} = tableNames;
	return key.startsWith(evacuationKeyPrefix) &&
		key.length > evacuationKeyPrefix.length
		? key.slice(evacuationKeyPrefix.length)
		: undefined;
}
