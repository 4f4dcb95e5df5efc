import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {ProblemError} from '../../common/index.js';

/** What a stream token names. */
export type StreamIdentity = {
	readonly account: string;
	readonly targetId: string;
	readonly generationId: string;
	/** Counts the generations that were started for one request. */
	readonly attempt: number;
};

/** Place in a stream, as a caller gives it back in `Last-Event-ID`. */
export type ResumePoint = {
	readonly identity: StreamIdentity;
	/** Number of tokens that the caller has. */
	readonly receivedCount: number;
};

const signatureBytes = 16;

/** Signs and checks stream tokens under the fleet's key. */
export type StreamTokenSigner = {
	sign(identity: StreamIdentity): string;
	/**
	 * Reads a `Last-Event-ID`.
	 * @param account - client account that presents it
	 * @throws ProblemError `stream-unknown` if it is malformed, forged or of another account
	 */
	parse(lastEventId: string, account: string): ResumePoint;
};

/**
 * Creates the signer.
 * @param key - secret that all entry VMs share
 */
export function createStreamTokenSigner(key: string): StreamTokenSigner {
	const signatureOf = (payload: string) =>
		createHmac('sha256', key)
			.update(payload)
			.digest()
			.subarray(0, signatureBytes);

	const unknown = () =>
		new ProblemError(
			'stream-unknown',
			'Last-Event-ID names no stream of this client account',
			{
				field: 'Last-Event-ID',
			},
		);

	return {
		sign(identity) {
			const {account, targetId, generationId, attempt} = identity;
			const fields = JSON.stringify([account, targetId, generationId, attempt]);
			const payload = Buffer.from(fields).toString('base64url');
			return `${payload}~${signatureOf(payload).toString('base64url')}`;
		},
		parse(lastEventId, account) {
			const match = /^([\w-]+)~([\w-]+)\.(\d{1,9})$/.exec(lastEventId);
			if (!match) {
				throw unknown();
			}

			const [, payload, signature, position] = match;
			const given = Buffer.from(signature, 'base64url');
			if (
				given.length !== signatureBytes ||
				!timingSafeEqual(given, signatureOf(payload))
			) {
				throw unknown();
			}

			const fields = JSON.parse(
				Buffer.from(payload, 'base64url').toString('utf8'),
			) as [string, string, string, number];
			const [owner, targetId, generationId, attempt] = fields;
			if (owner !== account) {
				throw unknown();
			}

			return {
				identity: {account, targetId, generationId, attempt},
				receivedCount: Number(position),
			};
		},
	};
}
