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

/** What the handler of completions needs. */
export type CompletionsHandlerOptions = {
	readonly maxBodyBytes: number;
	/** Largest number of open streams; more are refused. */
	readonly maxOpenStreams: number;
	readonly streamTokenSigner: StreamTokenSigner;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => EffectiveSettings;
	readonly relay: RelayContext;
	readonly metricsFor: (account: string, requestClass: string) => RelayMetrics;
	/** Called with every session, so that a planned stop can wait for it. */
	readonly onSession: (session: RelaySession) => Disposable;
};

const retryAfterFullMs = 1000;

/** Creates the handler of `POST /v1/completions`. */
export function createCompletionsHandler(
	options: CompletionsHandlerOptions,
): CallerHandler {
	const {relay} = options;
	const flusher = createTurnFlusher();
	let openStreams = 0;

	const placeIn = ({account, request}: CallerExchange, isStream: boolean) => {
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

	const generationOf = (
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
			// A JSON document cannot take back what was sent.
			delivery: body.stream ? (body.delivery ?? defaultDelivery) : 'whole',
			deadlineMs:
				timeoutMs === undefined ? undefined : relay.clock.nowMs() + timeoutMs,
		};
	};

	const sinkFor = (
		{account, response}: CallerExchange,
		body: CompletionRequest,
		from: ResumePoint | undefined,
	) => {
		const {model} = body;
		return body.stream
			? createEventStreamSink({
					flusher,
					response,
					model,
					signStreamToken: (place: GenerationPlacement) =>
						options.streamTokenSigner.sign({account, ...place}),
					receivedCount: from?.receivedCount ?? 0,
				})
			: createJsonSink({response, model});
	};

	return async (exchange) => {
		const {account, request, response} = exchange;
		const timeoutMs = parseRequestTimeoutMs(request);
		const text = await readRequestBody(request, options.maxBodyBytes);
		const body = parseCompletionRequest(parseJsonBody(text));
		const from = placeIn(exchange, body.stream);
		if (response.destroyed) {
			return;
		}

		if (openStreams >= options.maxOpenStreams) {
			throw new ProblemError('not-run', 'this entry VM has no room', {
				retryAfterMs: retryAfterFullMs,
			});
		}

		const session = createRelaySession({
			...relay,
			request: generationOf(account, body, timeoutMs),
			resumeWindowMs: options.settingsFor(account, body.class).classSettings
				.resumeWindowMs,
			sink: sinkFor(exchange, body, from),
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
		if (from) {
			session.resume(from.identity, from.receivedCount);
		} else {
			session.start();
		}
	};
}
