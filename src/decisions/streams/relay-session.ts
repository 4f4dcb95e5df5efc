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

/** Number of tokens between two calls of `GenerationPlacer.progressed`. */
const progressTokens = 16;

/** Creates a session; call `start` or `resume` to begin. */
export function createRelaySession(options: RelaySessionOptions): RelaySession {
	const {request, sink, limits, clock, placer, metrics} = options;
	const metricsRecorder = createStreamMetricsRecorder(
		metrics,
		clock.nowMs(),
		limits.stallTimeThresholdMs,
	);
	let placement: GenerationPlacement | undefined;
	let engine: Engine | undefined;
	let reader: GenerationReader | undefined;
	let pendingPlacement: Disposable | undefined;
	let isEnded = false;

	/** Calls the placer; its errors must not interrupt the response to the caller. */
	const callPlacer = (call: () => void) => {
		try {
			call();
		} catch (error) {
			options.onUnexpected(error);
		}
	};

	const release = (outcome: GenerationOutcome) => {
		const current = placement;
		placement = undefined;
		if (current) {
			callPlacer(() => {
				placer.ended(current.generationId, outcome, reader?.nextPosition ?? 0);
			});
		}
	};

	const end = () => {
		isEnded = true;
		ownTimers.dispose();
		restarts.dispose();
		pendingPlacement?.dispose();
		reader?.close();
		responseDelivery.close();
	};

	const fail = (problem: ProblemError, outcome: GenerationOutcome = 'lost') => {
		if (isEnded) {
			return;
		}

		end();
		if (placement && reader) {
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
			if (!responseDelivery.isBlocked) {
				sink.keepAlive();
			}
		},
		onDeadline(problem) {
			fail(problem, 'cancelled');
		},
	});

	const responseDelivery = createResponseDelivery({
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
			createReader(placement!, position).reopen();
		},
		onDelivered(reason, tokenCount) {
			end();
			release('finished');
			metricsRecorder.recordFinish(clock.nowMs());
			sink.finished(reason, tokenCount);
		},
	});

	const handleLoss = (cause: ProblemError) => {
		if (isEnded) {
			return;
		}

		const lost = placement!;
		if (cause.details?.leaving === true) {
			options.onTargetLeaving(lost.targetId);
		}

		if (mayRestart(lost)) {
			void cancelQuietly(reader!);
			release('lost');
			restarts.handleLoss(lost, responseDelivery.deliveredCount > 0);
		} else {
			fail(generationLostProblem(limits.backoffMaxMs, cause));
		}
	};

	const mayRestart = (lost: GenerationPlacement) =>
		mayRestartAfter({
			attempt: lost.attempt,
			maxAttempts: limits.maxAttempts,
			deliveredCount: responseDelivery.deliveredCount,
			delivery: request.delivery,
			isResumable: sink.resumable,
		});

	/**
	 * Runs a delivery step. A protocol error of the engine counts as a loss of the generation; any other
	 * error is a fault of this daemon and fails the request.
	 */
	const runDelivery = (step: () => void) => {
		try {
			step();
		} catch (error) {
			const problem = toProblem(error);
			if (problem.type === 'target-protocol') {
				reader?.close();
				handleLoss(problem);
			} else {
				fail(problem);
			}
		}
	};

	const listenerFor = (current: GenerationPlacement): GenerationListener => ({
		onToken(position, text, silenceMs) {
			metricsRecorder.recordToken(clock, silenceMs);
			try {
				responseDelivery.token(current, position, text);
			} catch (error) {
				fail(toProblem(error));
				return;
			}

			if (
				(position + 1) % progressTokens === 0 &&
				!responseDelivery.isFullyRead
			) {
				callPlacer(() => {
					placer.progressed(current.generationId, position + 1);
				});
			}
		},
		onFinish(reason, tokenCount) {
			runDelivery(() => {
				responseDelivery.finish(reason, tokenCount);
			});
		},
		onLost: handleLoss,
		onReopen: metrics.reopened,
	});

	const createReader = (
		current: GenerationPlacement,
		firstPosition: number,
	) => {
		reader = createGenerationReader({
			...options,
			engine: engine!,
			generationId: current.generationId,
			firstPosition,
			listener: listenerFor(current),
		});
		if (responseDelivery.isBlocked) {
			reader.pause();
		}

		return reader;
	};

	const restarts = createRestartPolicy({
		...options,
		account: request.account,
		onRestart(lost) {
			placeGeneration(lost);
		},
		onGivenUp: fail,
	});

	/** @param lost - lost generation that the new one replaces */
	const placeGeneration = (lost?: GenerationPlacement) => {
		const callbacks = {
			onPlaced(placed: EngineAssignment) {
				if (!isEnded) {
					startGeneration(placed, lost ? lost.attempt + 1 : 0);
				}
			},
			onRefused(problem: ProblemError) {
				if (isEnded) {
					return;
				}

				// A request that was already accepted is retried for a while when its replacement is refused.
				if (lost) {
					restarts.handleRefusal(lost, problem);
				} else {
					fail(problem);
				}
			},
		};
		pendingPlacement = placer.place(request, callbacks, lost?.targetId);
	};

	const startGeneration = (placed: EngineAssignment, attemptNumber: number) => {
		engine = placed.engine;
		const {generationId} = placed;
		const targetId = engine.description.id;
		placement = {targetId, generationId, attempt: attemptNumber};
		const isRestart = responseDelivery.deliveredCount > 0;
		if (attemptNumber > 0) {
			metrics.restarted();
		}

		responseDelivery.begin(placement, 0);
		if (isRestart) {
			sink.restarted(placement);
		} else {
			sink.accepted(placement);
		}

		createReader(placement, 0).start(
			engineRequestOf(request, placed, clock.nowMs()),
		);
	};

	return {
		start() {
			ownTimers.start();
			placeGeneration();
		},
		resume(from, receivedCount) {
			ownTimers.start();
			options.cancellations.callerReturned(from.generationId);
			engine = placer.adopt(request, from, receivedCount);
			responseDelivery.begin(from, receivedCount);
			sink.accepted(from);
			if (engine) {
				placement = from;
				createReader(from, receivedCount).reopen();
			} else if (mayRestart(from)) {
				restarts.handleLoss(from, receivedCount > 0);
			} else {
				fail(generationLostProblem(limits.backoffMaxMs));
			}
		},
		drained() {
			if (!isEnded) {
				runDelivery(responseDelivery.drained);
			}
		},
		callerDisconnected() {
			if (isEnded) {
				return;
			}

			end();
			if (!placement || responseDelivery.isFullyRead) {
				release('finished');
				return;
			}

			const currentReader = reader!;
			options.cancellations.add(
				placement.generationId,
				sink.resumable ? options.resumeWindowMs : 0,
				() => {
					release('cancelled');
					void cancelQuietly(currentReader);
				},
				() => {
					release('cancelled');
				},
			);
		},
	};
}
