import {
	type Disposable,
	type Engine,
	type ProblemError,
	toProblem,
} from '../../common/index.js';
import {createResponseDelivery} from './response-delivery.js';
import {engineRequestOf} from './engine-request.js';
import {
	cancelQuietly,
	generationLostProblem,
	mayRestartAfter,
} from './generation-loss.js';
import {
	createGenerationReader,
	type GenerationListener,
	type GenerationReader,
} from './generation-reader.js';
import type {RelaySession, RelaySessionOptions} from './relay-session-types.js';
import {createRelayTimers} from './relay-timers.js';
import {createRestartPolicy} from './restart-policy.js';
import {createStreamMetricsRecorder} from './stream-metrics-recorder.js';
import type {
	GenerationOutcome,
	GenerationPlacement,
	EngineAssignment,
} from './types.js';

/** `progressed` is called each time when so many tokens have come. */
const progressTokens = 16;

/** Creates a session that has not started. */
export function createRelaySession(options: RelaySessionOptions): RelaySession {
	const {request, sink, limits, clock, placer, metrics} = options;
	const measure = createStreamMetricsRecorder(
		metrics,
		clock.nowMs(),
		limits.stallTimeThresholdMs,
	);
	let place: GenerationPlacement | undefined;
	let engine: Engine | undefined;
	let reader: GenerationReader | undefined;
	let waiting: Disposable | undefined;
	let ended = false;

	/** Tells the placer; what fails there must not keep the caller from its answer. */
	const tellPlacer = (tell: () => void) => {
		try {
			tell();
		} catch (error) {
			options.onUnexpected(error);
		}
	};

	const release = (outcome: GenerationOutcome) => {
		const own = place;
		place = undefined;
		if (own) {
			tellPlacer(() => {
				placer.ended(own.generationId, outcome, reader?.nextPosition ?? 0);
			});
		}
	};

	const end = () => {
		ended = true;
		ownTimers.dispose();
		restarts.dispose();
		waiting?.dispose();
		reader?.close();
		delivery.close();
	};

	const fail = (problem: ProblemError, outcome: GenerationOutcome = 'lost') => {
		if (ended) {
			return;
		}

		end();
		if (place && reader) {
			void cancelQuietly(reader);
		}

		release(outcome);
		metrics.failed(problem.type);
		sink.failed(problem);
	};

	const ownTimers = createRelayTimers({
		...options,
		keepAliveMs: limits.keepAliveMs,
		deadlineMs: request.deadlineMs,
		onKeepAlive() {
			if (!delivery.isBlocked) {
				sink.keepAlive();
			}
		},
		onDeadline(problem) {
			fail(problem, 'cancelled');
		},
	});

	const delivery = createResponseDelivery({
		...options,
		delivery: request.delivery,
		onTokenDelivered: ownTimers.recordWrite,
		onBlocked() {
			reader?.pause();
		},
		onUnblocked() {
			reader?.resume();
		},
		onReread(position) {
			metrics.reopened('reread');
			read(place!, position).reopen();
		},
		onDelivered(reason, tokenCount) {
			end();
			release('finished');
			measure.recordFinish(clock.nowMs());
			sink.finished(reason, tokenCount);
		},
	});

	const lose = (cause: ProblemError) => {
		if (ended) {
			return;
		}

		const lost = place!;
		if (cause.details?.leaving === true) {
			options.onTargetLeaving(lost.targetId);
		}

		if (mayRestart(lost)) {
			void cancelQuietly(reader!);
			release('lost');
			restarts.handleLoss(lost, delivery.deliveredCount > 0);
		} else {
			fail(generationLostProblem(limits.backoffMaxMs, cause));
		}
	};

	const mayRestart = (lost: GenerationPlacement) =>
		mayRestartAfter({
			attempt: lost.attempt,
			maxAttempts: limits.maxAttempts,
			deliveredCount: delivery.deliveredCount,
			delivery: request.delivery,
			isResumable: sink.resumable,
		});

	/** Runs a step; the engine or this daemon may be at fault if it fails. */
	const attempt = (step: () => void) => {
		try {
			step();
		} catch (error) {
			const problem = toProblem(error);
			if (problem.type === 'target-protocol') {
				reader?.close();
				lose(problem);
			} else {
				fail(problem);
			}
		}
	};

	const listenerFor = (own: GenerationPlacement): GenerationListener => ({
		onToken(position, text, silenceMs) {
			measure.recordToken(clock, silenceMs);
			try {
				delivery.token(own, position, text);
			} catch (error) {
				fail(toProblem(error));
				return;
			}

			if ((position + 1) % progressTokens === 0 && !delivery.isFullyRead) {
				tellPlacer(() => {
					placer.progressed(own.generationId, position + 1);
				});
			}
		},
		onFinish(reason, tokenCount) {
			attempt(() => {
				delivery.finish(reason, tokenCount);
			});
		},
		onLost: lose,
		onReopen: metrics.reopened,
	});

	const read = (own: GenerationPlacement, firstPosition: number) => {
		reader = createGenerationReader({
			...options,
			engine: engine!,
			generationId: own.generationId,
			firstPosition,
			listener: listenerFor(own),
		});
		if (delivery.isBlocked) {
			reader.pause();
		}

		return reader;
	};

	const restarts = createRestartPolicy({
		...options,
		account: request.account,
		onRestart(lost) {
			begin(lost);
		},
		onGivenUp: fail,
	});

	/** @param lost - place of the generation that this one replaces */
	const begin = (lost?: GenerationPlacement) => {
		const callbacks = {
			onPlaced(placed: EngineAssignment) {
				if (!ended) {
					open(placed, lost ? lost.attempt + 1 : 0);
				}
			},
			onRefused(problem: ProblemError) {
				if (ended) {
					return;
				}

				// An answer that was accepted is not given up at the first refusal.
				if (lost) {
					restarts.handleRefusal(lost, problem);
				} else {
					fail(problem);
				}
			},
		};
		waiting = placer.place(request, callbacks, lost?.targetId);
	};

	const open = (placed: EngineAssignment, attemptNumber: number) => {
		engine = placed.engine;
		const {generationId} = placed;
		const targetId = engine.description.id;
		place = {targetId, generationId, attempt: attemptNumber};
		const isRestart = delivery.deliveredCount > 0;
		if (attemptNumber > 0) {
			metrics.restarted();
		}

		delivery.begin(place, 0);
		if (isRestart) {
			sink.restarted(place);
		} else {
			sink.accepted(place);
		}

		read(place, 0).start(engineRequestOf(request, placed, clock.nowMs()));
	};

	return {
		start() {
			ownTimers.start();
			begin();
		},
		resume(from, position) {
			ownTimers.start();
			options.cancellations.callerReturned(from.generationId);
			engine = placer.adopt(request, from, position);
			delivery.begin(from, position);
			sink.accepted(from);
			if (engine) {
				place = from;
				read(from, position).reopen();
			} else if (mayRestart(from)) {
				restarts.handleLoss(from, position > 0);
			} else {
				fail(generationLostProblem(limits.backoffMaxMs));
			}
		},
		drained() {
			if (!ended) {
				attempt(delivery.drained);
			}
		},
		callerDisconnected() {
			if (ended) {
				return;
			}

			end();
			if (!place || delivery.isFullyRead) {
				release('finished');
				return;
			}

			const own = reader!;
			options.cancellations.add(
				place.generationId,
				sink.resumable ? options.resumeWindowMs : 0,
				() => {
					release('cancelled');
					void cancelQuietly(own);
				},
				() => {
					release('cancelled');
				},
			);
		},
	};
}
