import {randomBytes} from 'node:crypto';
import {request} from 'undici';

/** Outcome of a booking as its caller observed it. */
export type BookingCallOutcome = {
	/** Idempotency key of all calls. */
	readonly key: string;
	/** True if a call succeeded. */
	readonly isBooked: boolean;
	/** Problem type of the last call, or `connection` if it got no response. */
	readonly problem: string | undefined;
};

const retryDelayMs = 200;

/**
 * Creates a UUID of version 7 (RFC 9562).
 * @param wallMs - Unix time in milliseconds
 */
export function createUuidV7(wallMs: number): string {
	const time = wallMs.toString(16).padStart(12, '0');
	const random = randomBytes(10).toString('hex');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6, 18)}`;
}

/** Options of `callBooking`. */
export type BookingCallerOptions = {
	/** Base URLs of the entry VMs; each call goes to the next one. */
	readonly entryUrls: readonly string[];
	readonly token: string;
	readonly service: string;
	/** Number of times the call is repeated after it has succeeded. */
	readonly repeats: number;
	/** Maximum number of calls, repeats included. */
	readonly maxAttempts: number;
};

/**
 * Makes one booking. Repeats the call with the same idempotency key, each time through the next
 * entry VM, until it has succeeded once and as often again as asked, or `maxAttempts` is reached.
 */
export async function callBooking(
	options: BookingCallerOptions,
): Promise<BookingCallOutcome> {
	const {entryUrls, token, service, repeats, maxAttempts} = options;
	const key = createUuidV7(Date.now());
	let problem: string | undefined;
	let isBooked = false;
	let successes = 0;
	for (
		let attempt = 0;
		attempt < maxAttempts && successes <= repeats;
		attempt++
	) {
		const url = entryUrls[attempt % entryUrls.length];
		try {
			const response = await request(`${url}/v1/services/${service}/bookings`, {
				method: 'POST',
				headers: {
					authorization: `Bearer ${token}`,
					'content-type': 'application/json',
					'idempotency-key': key,
				},
				body: JSON.stringify({slot: key}),
			});
			const body = (await response.body.json()) as {type?: string};
			isBooked ||= response.statusCode === 201;
			successes += response.statusCode === 201 ? 1 : 0;
			problem = body.type;
		} catch {
			problem = 'connection';
		}

		if (problem !== undefined) {
			await new Promise((resolve) => {
				setTimeout(resolve, retryDelayMs);
			});
		}
	}

	return {key, isBooked, problem};
}
