import * as z from 'zod';
import {ProblemError, type Row} from '../../common/index.js';
import type {BookingCall, BookingRecord} from './types.js';

/** Key prefix of the rows of all booking records. */
export const bookingPrefix = 'booking/';

const answerSchema = z.object({
	status: z.number().int().min(100).max(599),
	contentType: z.string(),
	body: z.string(),
});

const recordSchema = z
	.object({
		state: z.enum(['started', 'done', 'not-run', 'unknown']),
		owner: z.string().min(1),
		ownerAddress: z.string(),
		attemptId: z.string().min(1),
		bodyHash: z.string().min(1),
		service: z.string(),
		targetId: z.string(),
		startedWallMs: z.number(),
		answer: answerSchema.optional(),
		answerObject: z.string().min(1).optional(),
	})
	.refine(
		(record) =>
			(record.state === 'done') ===
			(record.answer !== undefined || record.answerObject !== undefined),
	);

/** Key of a record's row. */
export function bookingRowKey(account: string, key: string): string {
	return `${bookingPrefix}${encodeURIComponent(account)}/${key}`;
}

/** True if a call repeats the request of a record: its body hash is the same. */
export function isSameRequest(
	record: BookingRecord,
	call: BookingCall,
): boolean {
	return record.bodyHash === call.bodyHash;
}

/**
 * Parses and validates a record.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseBookingRecord(row: Row): BookingRecord {
	const corruptRow = (cause?: Error) =>
		new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" is not a valid booking record`,
			{field: row.key, cause},
		);
	let value: unknown;
	try {
		value = JSON.parse(row.value);
	} catch (error) {
		throw corruptRow(error as Error);
	}

	const result = recordSchema.safeParse(value);
	if (!result.success) {
		throw corruptRow();
	}

	return result.data;
}

/**
 * Parses an answer from the object store.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseStoredAnswer(name: string, text: string | undefined) {
	try {
		return answerSchema.parse(JSON.parse(text ?? ''));
	} catch {
		throw new ProblemError(
			'table-corrupt-row',
			`object "${name}" is missing or not a valid booking answer`,
			{field: name},
		);
	}
}
