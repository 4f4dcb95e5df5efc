import {
	type Disposable,
	type Engine,
	type EngineStream,
	type EngineStreamListener,
	type FinishReason,
	ProblemError,
} from '../../common/index.js';
import {
	createStreamSequencer,
	type StreamSequencer,
} from './stream-sequencer.js';
import type {
	CallerSink,
	GenerationOutcome,
	GenerationPlace,
	GenerationPlacer,
	GenerationRequest,
	PlacedGeneration,
} from './types.js';

/** What a session needs from its surroundings. */
export type RelaySessionOptions = {
	readonly request: GenerationRequest;
	readonly sink: CallerSink;
	/** Admits the generation and chooses engines. */
	readonly placer: GenerationPlacer;
};

/** Relays one request's answer from engines to its caller. */
export type RelaySession = {
	/** Places the request and starts a generation. */
	start(): void;
	/**
	 * Continues a stream that another entry VM may have served.
	 * @param position - number of tokens that the caller has
	 */
	resume(place: GenerationPlace, position: number): void;
	/** The caller takes tokens again after `token` returned false. */
	drained(): void;
	/** The caller is gone. */
	leave(): void;
};

const maxReopens = 3;
const maxAttempts = 4;

/** Creates a session that has not started. */
export function createRelaySession(options: RelaySessionOptions): RelaySession {
	const {request, sink} = options;
	const buffered: string[] = [];
	let sequencer: StreamSequencer = createStreamSequencer();
	let place: GenerationPlace | undefined;
	let waiting: Disposable | undefined;
	let engine: Engine | undefined;
	let stream: EngineStream | undefined;
	let reopens = 0;
	let delivered = 0;
	let ended = false;

	const release = (outcome: GenerationOutcome) => {
		if (place) {
			options.placer.ended(place.generationId, outcome, sequencer.nextPosition);
		}
	};

	const end = (outcome: GenerationOutcome) => {
		ended = true;
		waiting?.dispose();
		stream?.close();
		release(outcome);
	};

	const fail = (error: ProblemError) => {
		end('lost');
		sink.failed(error);
	};

	const deliver = (position: number, text: string) => {
		delivered = position;
		if (!sink.token(position, text)) {
			stream?.pause();
		}
	};

	const listenerFor = (own: GenerationPlace): EngineStreamListener => {
		const current = () => !ended && place === own;
		return {
			onToken(position, text) {
				if (!current()) {
					return;
				}

				const verdict = sequencer.accept(position);
				if (verdict === 'gap') {
					reopen();
				} else if (verdict === 'deliver') {
					reopens = 0;
					if (request.delivery === 'whole') {
						buffered.push(text);
					} else {
						deliver(position + 1, text);
					}
				}
			},
			onFinish(reason, tokenCount) {
				if (current()) {
					finish(reason, tokenCount);
				}
			},
			onFailure(error) {
				if (current()) {
					recover(error);
				}
			},
		};
	};

	const finish = (reason: FinishReason, tokenCount: number) => {
		try {
			if (sequencer.finish(tokenCount) === 'gap') {
				reopen();
				return;
			}
		} catch (error) {
			fail(error as ProblemError);
			return;
		}

		const first = sequencer.nextPosition - buffered.length;
		for (const [index, text] of buffered.entries()) {
			deliver(first + index + 1, text);
		}

		end('finished');
		sink.finished(reason, tokenCount);
	};

	const reopen = () => {
		stream?.close();
		if (++reopens > maxReopens) {
			restart(
				new ProblemError(
					'generation-lost',
					'the engine no longer delivers the generation',
				),
			);
			return;
		}

		stream = engine!.reopen(
			place!.generationId,
			sequencer.nextPosition,
			listenerFor(place!),
		);
	};

	const recover = (error: ProblemError) => {
		if (error.type === 'target-unavailable' && sequencer.nextPosition > 0) {
			reopen();
		} else {
			restart(error);
		}
	};

	const restart = (cause: ProblemError) => {
		const attempt = place!.attempt + 1;
		if (delivered > 0 && request.delivery !== 'restartable') {
			fail(
				new ProblemError(
					'generation-lost',
					'the engine lost the generation; ask again',
					{
						cause,
						retryAfterMs: 0,
					},
				),
			);
			return;
		}

		release('lost');
		const lostTargetId = place!.targetId;
		place = undefined;
		if (attempt >= maxAttempts) {
			fail(
				new ProblemError('not-run', 'no engine could finish the generation', {
					cause,
				}),
			);
			return;
		}

		begin(attempt, lostTargetId);
	};

	const begin = (attempt: number, avoidTargetId?: string) => {
		waiting = options.placer.place(
			request,
			{
				onPlaced(placed) {
					if (!ended) {
						open(placed, attempt);
					}
				},
				onRefused(problem) {
					if (!ended) {
						fail(problem);
					}
				},
			},
			avoidTargetId,
		);
	};

	const open = (placed: PlacedGeneration, attempt: number) => {
		buffered.length = 0;
		reopens = 0;
		sequencer = createStreamSequencer();
		engine = placed.engine;
		const {generationId, priority} = placed;
		place = {targetId: engine.description.id, generationId, attempt};
		if (delivered > 0) {
			delivered = 0;
			sink.restarted(place);
		} else {
			sink.accepted(place);
		}

		const {model, prompt, maxTokens} = request;
		stream = engine.start(
			{generationId, model, prompt, maxTokens, priority},
			listenerFor(place),
		);
	};

	return {
		start() {
			begin(0);
		},
		resume(from, position) {
			engine = options.placer.adopt(request, from, position);
			place = from;
			delivered = position;
			if (!engine) {
				restart(
					new ProblemError(
						'stream-unknown',
						'the target of the stream is gone',
					),
				);
				return;
			}

			sequencer = createStreamSequencer(position);
			sink.accepted(from);
			stream = engine.reopen(from.generationId, position, listenerFor(from));
		},
		drained() {
			stream?.resume();
		},
		leave() {
			if (!ended) {
				end('cancelled');
			}
		},
	};
}
