import {request} from 'undici';
import {
	PlainService,
	ProblemError,
	type ServiceResponse,
	type ServiceCall,
	type TargetDescription,
	toProblem,
} from '../../common/index.js';

const outcomeTimeoutMs = 2000;

// Error codes of failed connection attempts: the request was not sent.
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Client of a plain service over HTTP. */
export class HttpPlainService extends PlainService {
	constructor(override readonly description: TargetDescription) {
		super();
	}

	override async call(call: ServiceCall): Promise<ServiceResponse> {
		try {
			return await this.send(call);
		} catch (error) {
			const code = (error as {code?: string} | undefined)?.code ?? '';
			const type = notSentCodes.has(code)
				? 'target-unavailable'
				: 'outcome-unknown';
			throw new ProblemError(
				type,
				`request to target "${this.description.id}" failed`,
				{
					cause: toProblem(error),
				},
			);
		}
	}

	override async outcome(
		idempotencyKey: string,
	): Promise<ServiceResponse | undefined> {
		try {
			const response = await this.send({
				method: 'GET',
				path: `/outcomes/${encodeURIComponent(idempotencyKey)}`,
				body: '',
				contentType: '',
				idempotencyKey: undefined,
				timeoutMs: outcomeTimeoutMs,
			});
			if (response.status >= 500) {
				throw new ProblemError(
					'target-unavailable',
					`target responded with status ${response.status}`,
				);
			}

			return response.status === 404 ? undefined : response;
		} catch (error) {
			throw new ProblemError(
				'target-unavailable',
				`outcome of a call could not be read from target "${this.description.id}"`,
				{cause: toProblem(error)},
			);
		}
	}

	private async send(call: ServiceCall): Promise<ServiceResponse> {
		const hasBody = call.method !== 'GET' && call.method !== 'HEAD';
		const response = await request(this.description.url + call.path, {
			method: call.method as 'GET' | 'POST',
			headers: {
				...(hasBody ? {'content-type': call.contentType} : {}),
				...(call.idempotencyKey === undefined
					? {}
					: {'idempotency-key': call.idempotencyKey}),
			},
			body: hasBody ? call.body : undefined,
			signal: AbortSignal.timeout(call.timeoutMs),
			// Responses name no request. Closing the connection keeps a repeated one from being read as the
			// response to a later call.
			reset: true,
		});
		return {
			status: response.statusCode,
			contentType: String(
				response.headers['content-type'] ?? 'application/octet-stream',
			),
			body: await response.body.text(),
		};
	}
}
