import * as z from 'zod';
import type {EvacuationList} from './zone-evacuations.js';

/** Encoded list of evacuated zones, alone or as part of another message. */
export const evacuationListSchema = z.object({
	version: z.number(),
	zones: z.array(z.string()).readonly(),
});

const messageSchema = z.object({evacuations: evacuationListSchema});

/** Encodes the complete list of evacuated zones for a datagram of its own. */
export function encodeRelayedEvacuations(list: EvacuationList): string {
	return JSON.stringify({evacuations: list});
}

/** @returns undefined if the value is not an encoded list of evacuated zones */
export function decodeRelayedEvacuations(
	value: unknown,
): EvacuationList | undefined {
	const {success, data} = messageSchema.safeParse(value);
	return success ? data.evacuations : undefined;
}
