import {type Disposable, ProblemError} from '../../common/index.js';
import type {EffectiveSettings} from '../../decisions/configuration/index.js';
import {
	createRelaySession,
	type GenerationPlacement,
	type GenerationRequest,
	type RelayMetrics,
	type RelaySession,
	type RelayContext,
} from '../../decisions/streams/index.js';
import type {CallerExchange, CallerHandler} from './caller-server.js';
import {
	type CompletionRequest,
	parseCompletionRequest,
} from './completion-request.js';
import {createEventStreamSink} from './event-stream-sink.js';
import {createJsonSink} from './json-sink.js';
import {parseJsonBody, readRequestBody} from './request-body.js';
import {parseRequestTimeoutMs} from './request-timeout.js';
import type {ResumePoint, StreamTokenSigner} from './stream-token.js';
import {createTurnFlusher} from './turn-flusher.js';

export type CompletionsHandlerOptions = {
	readonly maxBodyBytes: number;
	/** Largest number of open responses, streamed or not; further requests are refused. */
	readonly maxOpenStreams: number;
	readonly streamTokenSigner: StreamTokenSigner;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => EffectiveSettings;
	readonly relay: RelayContext;
	readonly metricsFor: (account: string, requestClass: string) => RelayMetrics;
	/**
	 * Called with every new session, so that a graceful stop can wait for it.
	 * @returns registration, which is disposed when the response is closed
	 */
	readonly onSession: (session: RelaySession) => Disposable;
};

const overloadRetryAfterMs = 1000;

/** Creates the handler of `POST /v1/completions`. */
export function createCompletionsHandler(
	options: CompletionsHandlerOptions,
): CallerHandler {
	const {relay} = options;
	const flusher = createTurnFlusher();
	let openStreams = 0;

	const resumePointOf = (
		{account, request}: CallerExchange,
		isStream: boolean,
	) => {
		const lastEventId = request.headers['last-event-id'];
		if (lastEventId === undefined) {
			return undefined;
		}

		if (!isStream) {
			throw new ProblemError(
				'invalid-request',
				'Last-Event-ID is allowed only with "stream": true',
				{field: 'Last-Event-ID'},
			);
		}

		return options.streamTokenSigner.parse(String(lastEventId), account);
	};

	const generationRequestOf = (
		account: string,
		body: CompletionRequest,
		timeoutMs: number | undefined,
	): GenerationRequest => {
		const {classSettings} = options.settingsFor(account, body.class);
		const {maxTokens, defaultDelivery} = classSettings;
		return {
			account,
			requestClass: body.class,
			model: body.model,
			prompt: body.prompt,
			maxTokens: Math.min(body.max_tokens ?? maxTokens, maxTokens),
			// Tokens that were sent in a JSON document can't be revoked after a restart.
			delivery: body.stream ? (body.delivery ?? defaultDelivery) : 'whole',
			deadlineMs:
				timeoutMs === undefined ? undefined : relay.clock.nowMs() + timeoutMs,
		};
	};

	const sinkFor = (
		{account, response}: CallerExchange,
		body: CompletionRequest,
		resumePoint: ResumePoint | undefined,
	) => {
		const {model} = body;
		return body.stream
			? createEventStreamSink({
					flusher,
					response,
					model,
					signStreamToken: (placement: GenerationPlacement) =>
						options.streamTokenSigner.sign({account, ...placement}),
					receivedCount: resumePoint?.receivedCount ?? 0,
				})
			: createJsonSink({response, model});
	};

	return async (exchange) => {
		const {account, request, response} = exchange;
		const timeoutMs = parseRequestTimeoutMs(request);
		const bodyText = await readRequestBody(request, options.maxBodyBytes);
		const body = parseCompletionRequest(parseJsonBody(bodyText));
		const resumePoint = resumePointOf(exchange, body.stream);
		if (response.destroyed) {
			return;
		}

		if (openStreams >= options.maxOpenStreams) {
			throw new ProblemError(
				'not-run',
				'this entry VM has the largest allowed number of open completions',
				{
					retryAfterMs: overloadRetryAfterMs,
				},
			);
		}

		const session = createRelaySession({
			...relay,
			request: generationRequestOf(account, body, timeoutMs),
			resumeWindowMs: options.settingsFor(account, body.class).classSettings
				.resumeWindowMs,
			sink: sinkFor(exchange, body, resumePoint),
			metrics: options.metricsFor(account, body.class),
		});
		const registration = options.onSession(session);
		openStreams++;
		response.on('drain', () => {
			session.drained();
		});
		response.on('close', () => {
			openStreams--;
			registration.dispose();
			session.callerDisconnected();
		});
		if (resumePoint) {
			session.resume(resumePoint.identity, resumePoint.receivedCount);
		} else {
			session.start();
		}
	};
}
