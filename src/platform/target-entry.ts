import * as z from 'zod';
import {isSocketAddress, type TargetEntry} from '../common/index.js';
import {decode, parseJson} from './decode.js';

/** Far more than any target has; an entry with more was not written by a target. */
const maxSlotCount = 100_000;
/** Longest warm-up that a target may announce, in milliseconds: one day. */
const maxWarmingMs = 86_400_000;
/** Ids become header values. */
const idSchema = z.string().regex(/^[!-~]{1,200}$/);

/** Targets write all of these fields but the last, so that an entry without one was not written by a target. */
const entrySchema = z.object({
	id: idSchema,
	service: z.string().min(1),
	address: z.string().refine(isSocketAddress, 'not an IPv4 address and port'),
	zone: z.string(),
	version: z.string(),
	slots: z.number().int().positive().max(maxSlotCount),
	state: z.enum(['ready', 'draining']),
	cold_left_ms: z.number().nonnegative().max(maxWarmingMs),
	seq: z.number().nonnegative(),
	born: z.number().int().nonnegative().optional(),
});

/**
 * Decodes the entry that a target registered in the store.
 * @param id - key of the row
 * @throws ProblemError `table-corrupt-row` whose `field` is the first invalid field, if the text is JSON
 */
export function decodeTargetEntry(id: string, text: string): TargetEntry {
	const label = `the entry of target "${id}"`;
	const problemType = 'table-corrupt-row';
	const value = parseJson(text, label, problemType);
	const raw = decode(
		entrySchema,
		typeof value === 'object' ? {...value, id} : value,
		label,
		problemType,
	);
	return {
		id,
		service: raw.service,
		address: raw.address,
		availabilityZone: raw.zone,
		slotCount: raw.slots,
		state: raw.state,
		warmingMs: raw.cold_left_ms,
		bornMs: raw.born,
	};
}
