import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {ProblemError} from '../../common/index.js';

/** A generation and the client account that may resume its stream; content of a stream token. */
export type StreamIdentity = {
	readonly account: string;
	readonly targetId: string;
	readonly generationId: string;
	/** Number of generations started for the same request before this one. */
	readonly attempt: number;
};

/** Point from which a caller resumes a stream, parsed from `Last-Event-ID`. */
export type ResumePoint = {
	readonly identity: StreamIdentity;
	/** Number of output tokens that the caller has received. */
	readonly receivedCount: number;
};

const signatureBytes = 16;

/**
 * Creates and verifies stream tokens. They are signed, so that any entry VM can resume a stream from what
 * the caller presents, without shared state.
 */
export type StreamTokenSigner = {
	sign(identity: StreamIdentity): string;
	/**
	 * Parses a `Last-Event-ID`: a stream token, a dot and the number of output tokens received.
	 * @param account - client account that presents it
	 * @throws ProblemError `stream-unknown` if it is malformed, its signature is wrong or it belongs to another
	 * account
	 */
	parse(lastEventId: string, account: string): ResumePoint;
};

/** @param key - signing key that all entry VMs share */
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

			const [, payload, signature, receivedCount] = match;
			const givenSignature = Buffer.from(signature, 'base64url');
			if (
				givenSignature.length !== signatureBytes ||
				!timingSafeEqual(givenSignature, signatureOf(payload))
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
				receivedCount: Number(receivedCount),
			};
		},
	};
}
