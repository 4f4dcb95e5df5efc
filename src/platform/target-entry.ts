import * as z from 'zod';
import type {TargetEntry} from '../common/index.js';
import {decode, parseJson} from './decode.js';

const entrySchema = z.object({
	service: z.string().min(1),
	address: z.string().regex(/^\d+(\.\d+){3}:\d{1,5}$/),
	zone: z.string(),
	slots: z.number().positive(),
	state: z.enum(['ready', 'draining']),
	cold_left_ms: z.number().nonnegative().optional(),
	born: z.number().int().optional(),
});

/**
 * Decodes the entry that a target registered in the store.
 * @param id - key of the row
 * @throws ProblemError `table-corrupt-row` whose `field` is the first invalid field, if the text is JSON
 */
export function decodeTargetEntry(id: string, text: string): TargetEntry {
	const label = `the entry of target "${id}"`;
	const problemType = 'table-corrupt-row';
	const raw = decode(
		entrySchema,
		parseJson(text, label, problemType),
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
		warmingMs: raw.cold_left_ms ?? 0,
		bornMs: raw.born,
	};
}
