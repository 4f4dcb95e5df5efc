import * as z from 'zod';
import type {EvacuationList} from './zone-evacuations.js';

/** Encoded list of evacuated zones, alone or as part of another message. */
export const evacuationListSchema = z.object({
	version: z.number(),
	era: z.number().default(0),
	zones: z.array(z.string()).readonly(),
	held: z.array(z.string()).readonly().default([]),
	removed: z.array(z.string()).readonly().default([]),
});

const messageSchema = z.object({evacuations: evacuationListSchema});

/** Encodes a list for transmission. */
export function encodeEvacuationList({
	revision,
	...list
}: EvacuationList): z.infer<typeof evacuationListSchema> {
	return {...revision, ...list};
}

/** Decodes a received list. */
export function decodeEvacuationList({
	version,
	era,
	...list
}: z.infer<typeof evacuationListSchema>): EvacuationList {
	return {revision: {era, version}, ...list};
}

/** Encodes the complete list of evacuated zones for a datagram of its own. */
export function encodeRelayedEvacuations(list: EvacuationList): string {
	return JSON.stringify({evacuations: encodeEvacuationList(list)});
}

/** @returns undefined if the value is not an encoded list of evacuated zones */
export function decodeRelayedEvacuations(
	value: unknown,
): EvacuationList | undefined {
	const {success, data} = messageSchema.safeParse(value);
	return success ? decodeEvacuationList(data.evacuations) : undefined;
}
