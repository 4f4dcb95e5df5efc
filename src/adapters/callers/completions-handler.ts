import type {EffectiveSettings} from '../../decisions/configuration/index.js';
import {
	createRelaySession,
	type GenerationPlace,
	type GenerationPlacer,
	type GenerationRequest,
	type RelaySession,
} from '../../decisions/streams/index.js';
import type {CallerHandler} from './caller-server.js';
import {parseCompletionRequest} from './completion-request.js';
import {createEventStreamSink} from './event-stream-sink.js';
import {createJsonSink} from './json-sink.js';
import {parseJsonBody, readRequestBody} from './request-body.js';
import type {StreamTokens} from './stream-token.js';

/** What the handler of completions needs. */
export type CompletionsHandlerOptions = {
	readonly maxBodyBytes: number;
	readonly streamTokens: StreamTokens;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => EffectiveSettings;
	/** Admits generations and chooses engines. */
	readonly placer: GenerationPlacer;
	/** Called with every session, so that a planned stop can wait for it. */
	readonly onSession: (session: RelaySession) => {dispose(): void};
};

/** Creates the handler of `POST /v1/completions`. */
export function createCompletionsHandler(
	options: CompletionsHandlerOptions,
): CallerHandler {
	return async ({account, request, response}) => {
		const text = await readRequestBody(request, options.maxBodyBytes);
		const body = parseCompletionRequest(parseJsonBody(text));
		const {classSettings} = options.settingsFor(account, body.class);
		const lastEventId = request.headers['last-event-id'];
		const from =
			typeof lastEventId === 'string'
				? options.streamTokens.parse(lastEventId, account)
				: undefined;
		const generation: GenerationRequest = {
			account,
			requestClass: body.class,
			model: body.model,
			prompt: body.prompt,
			maxTokens: Math.min(
				body.max_tokens ?? classSettings.maxTokens,
				classSettings.maxTokens,
			),
			delivery: body.delivery ?? classSettings.defaultDelivery,
		};
		const tokenOf = (place: GenerationPlace) =>
			options.streamTokens.sign({account, ...place});
		const sink = body.stream
			? createEventStreamSink({
					response,
					model: body.model,
					tokenOf,
					firstPosition: from?.position ?? 0,
				})
			: createJsonSink({response, model: body.model});
		const session = createRelaySession({
			request: generation,
			sink,
			placer: options.placer,
		});
		const registration = options.onSession(session);
		response.on('drain', () => {
			session.drained();
		});
		response.on('close', () => {
			registration.dispose();
			session.leave();
		});
		if (from) {
			session.resume(from.identity, from.position);
		} else {
			session.start();
		}
	};
}
