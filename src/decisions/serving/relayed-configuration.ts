import * as z from 'zod';

const configurationSchema = z.object({
	after: z.number(),
	version: z.number(),
	packed: z.string(),
});

/** The operator's row as a VM that reads the store tells others. */
export type RelayedConfiguration = {
	/** Version up to which every change must be known already. */
	readonly afterVersion: number;
	/** Version up to which every change is known with this. */
	readonly version: number;
	/** The row's text, packed. */
	readonly packed: string;
};

/** Larger ones are read from the store; a datagram with many fragments is often lost. */
const maxPackedLength = 16_384;

/** @returns undefined if the configuration does not fit into a datagram */
export function encodeRelayedConfiguration(
	change: RelayedConfiguration,
): string | undefined {
	const {afterVersion: after, version, packed} = change;
	return packed.length <= maxPackedLength
		? JSON.stringify({after, version, packed})
		: undefined;
}

/** @returns undefined if the value does not hold a configuration */
export function decodeRelayedConfiguration(
	value: unknown,
): RelayedConfiguration | undefined {
	const {success, data} = configurationSchema.safeParse(value);
	return success
		? {
				afterVersion: data.after,
				version: data.version,
				packed: data.packed,
			}
		: undefined;
}
