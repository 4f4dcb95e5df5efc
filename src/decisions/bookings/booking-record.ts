import * as z from 'zod';
import {ProblemError, type Row} from '../../common/index.js';
import type {BookingCall, BookingRecord} from './types.js';

/** Prefix of the rows of all records. */
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

/** Key of the row of an account's record. */
export function bookingRowKey(account: string, key: string): string {
	return `${bookingPrefix}${encodeURIComponent(account)}/${key}`;
}

/** Whether a record belongs to the same request as a call. */
export function isSameRequest(
	record: BookingRecord,
	call: BookingCall,
): boolean {
	return record.bodyHash === call.bodyHash;
}

/**
 * Reads a record.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseBookingRecord(row: Row): BookingRecord {
	const corrupt = (cause?: Error) =>
		new ProblemError(
			'table-corrupt-row',
			`row "${row.key}" holds no valid record`,
			{field: row.key, cause},
		);
	let value: unknown;
	try {
		value = JSON.parse(row.value);
	} catch (error) {
		throw corrupt(error as Error);
	}

	const result = recordSchema.safeParse(value);
	if (!result.success) {
		throw corrupt();
	}

	return result.data;
}

/**
 * Reads a stored answer.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseStoredAnswer(name: string, text: string | undefined) {
	try {
		return answerSchema.parse(JSON.parse(text ?? ''));
	} catch {
		throw new ProblemError(
			'table-corrupt-row',
			`object "${name}" holds no valid answer`,
			{field: name},
		);
	}
}
