import {randomBytes} from 'node:crypto';
import {request} from 'undici';

/** Outcome of one booking as its caller saw it. */
export type BookingCallOutcome = {
	readonly key: string;
	readonly isBooked: boolean;
	readonly problem: string | undefined;
};

const retryDelayMs = 200;

/** Creates a UUID version 7 (RFC 9562). */
export function createUuidV7(wallMs: number): string {
	const time = wallMs.toString(16).padStart(12, '0');
	const random = randomBytes(10).toString('hex');
	return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6, 18)}`;
}

/** Options of a booking. */
export type BookingCallerOptions = {
	/** Base URLs of the entry VMs; each repeat goes to the next one. */
	readonly entryUrls: readonly string[];
	readonly token: string;
	readonly service: string;
	/** How often the call is repeated after it succeeded. */
	readonly repeats: number;
	/** Calls after which the caller gives up. */
	readonly maxAttempts: number;
};

/** Books once, repeating the call with the same key through all entry VMs. */
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
