import * as z from 'zod';
import type {StoreRevision} from '../../common/index.js';
import {
	decodeEvacuationList,
	encodeEvacuationList,
	evacuationListSchema,
} from './relayed-evacuations.js';
import type {EvacuationList} from './zone-evacuations.js';

const configurationSchema = z.object({
	after: z.number(),
	afterEra: z.number().default(0),
	version: z.number(),
	era: z.number().default(0),
	packed: z.string(),
	evacuations: evacuationListSchema.optional(),
});

/**
 * The operator's row, which holds the configuration, as a reader of the store relays it to the other
 * VMs. The revisions are those of the operator's table.
 */
export type RelayedConfiguration = {
	/** Revision up to which the receiver must already know every change. */
	readonly after: StoreRevision;
	/** Revision up to which the receiver knows every change after applying the row. */
	readonly revision: StoreRevision;
	/** Compressed text of the row. */
	readonly packed: string;
	/**
	 * The evacuated zones, which are in the same table: a receiver that counts the changes up to `revision` as
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
	const {after, revision, packed, evacuations} = change;
	return packed.length <= maxPackedLength
		? JSON.stringify({
				after: after.version,
				afterEra: after.era,
				version: revision.version,
				era: revision.era,
				packed,
				evacuations: evacuations && encodeEvacuationList(evacuations),
			})
		: undefined;
}

/** @returns undefined if the value is not an encoded configuration message */
export function decodeRelayedConfiguration(
	value: unknown,
): RelayedConfiguration | undefined {
	const {success, data} = configurationSchema.safeParse(value);
	return success
		? {
				after: {era: data.afterEra, version: data.after},
				revision: {era: data.era, version: data.version},
				packed: data.packed,
				evacuations: data.evacuations && decodeEvacuationList(data.evacuations),
			}
		: undefined;
}
