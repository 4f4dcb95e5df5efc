import {ProblemError} from '../../common/index.js';

const uuidV7Pattern =
	/^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/;
const timeDigits = 12;
const maxSkewMs = 300_000;

/**
 * Time embedded in a UUID version 7.
 * @returns wall-clock time in milliseconds
 */
export function bookingKeyTimeMs(key: string): number {
	return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

/**
 * Start of the keys of a time, which sorts before every key of that time.
 * @param wallMs - wall-clock time in milliseconds
 */
export function bookingKeyPrefixAt(wallMs: number): string {
	const time = Math.max(0, Math.floor(wallMs))
		.toString(16)
		.padStart(timeDigits, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}`;
}

/**
 * Checks an idempotency key. Its embedded time lets old records be removed without reopening a key.
 * @param key - value of the `Idempotency-Key` header
 * @param wallMs - wall-clock time in milliseconds
 * @param retentionMs - how long records are kept, in milliseconds
 * @returns the key in lower case
 * @throws ProblemError `idempotency-key-invalid` or `idempotency-key-expired`
 */
export function checkBookingKey(
	key: string | undefined,
	wallMs: number,
	retentionMs: number,
): string {
	const normalized = key?.toLowerCase();
	if (normalized === undefined || !uuidV7Pattern.test(normalized)) {
		throw new ProblemError(
			'idempotency-key-invalid',
			'Idempotency-Key must be a UUID version 7 (RFC 9562)',
			{field: 'Idempotency-Key'},
		);
	}

	const createdWallMs = bookingKeyTimeMs(normalized);
	if (createdWallMs > wallMs + maxSkewMs) {
		throw new ProblemError(
			'idempotency-key-invalid',
			'time in Idempotency-Key is more than 5 minutes ahead',
			{field: 'Idempotency-Key'},
		);
	}

	if (createdWallMs < wallMs - retentionMs) {
		throw new ProblemError(
			'idempotency-key-expired',
			`time in Idempotency-Key is more than ${retentionMs} ms ago`,
			{field: 'Idempotency-Key'},
		);
	}

	return normalized;
}
