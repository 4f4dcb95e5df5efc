import * as z from 'zod';
import {evacuationListSchema} from './relayed-evacuations.js';
import type {EvacuationList} from './zone-evacuations.js';

const configurationSchema = z.object({
	after: z.number(),
	version: z.number(),
	packed: z.string(),
	evacuations: evacuationListSchema.optional(),
});

/**
 * The operator's row, which holds the configuration, as a reader of the store relays it to the other
 * VMs. The versions are those of the operator's table.
 */
export type RelayedConfiguration = {
	/** Version up to which the receiver must already know every change. */
	readonly afterVersion: number;
	/** Version up to which the receiver knows every change after applying the row. */
	readonly version: number;
	/** Compressed text of the row. */
	readonly packed: string;
	/**
	 * The evacuated zones, which are in the same table: a receiver that counts the changes up to `version` as
	 * known must have these too. Undefined from a VM that does not read them.
	 */
	readonly evacuations: EvacuationList | undefined;
};

/** Larger rows are read from the store, since a datagram with many fragments is often lost. */
const maxPackedLength = 16_384;

/** @returns undefined if the configuration is too large for a datagram */
export function encodeRelayedConfiguration(
	change: RelayedConfiguration,
): string | undefined {
	const {afterVersion: after, version, packed, evacuations} = change;
	return packed.length <= maxPackedLength
		? JSON.stringify({after, version, packed, evacuations})
		: undefined;
}

/** @returns undefined if the value is not an encoded configuration message */
export function decodeRelayedConfiguration(
	value: unknown,
): RelayedConfiguration | undefined {
	const {success, data} = configurationSchema.safeParse(value);
	return success
		? {
				afterVersion: data.after,
				version: data.version,
				packed: data.packed,
				evacuations: data.evacuations,
			}
		: undefined;
}
