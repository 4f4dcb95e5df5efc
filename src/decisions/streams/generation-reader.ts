import {
	type Clock,
	type Disposable,
	type Engine,
	type EngineRequest,
	type EngineStream,
	type EngineStreamListener,
	type FinishReason,
	ProblemError,
	type RandomSource,
	type Timers,
} from '../../common/index.js';
import {fullJitterMs} from '../retries/index.js';
import {createStallDetector} from './stall-detector.js';
import type {RelayLimits} from './relay-limits.js';
import {createStreamSequencer} from './stream-sequencer.js';
import type {ReopenCause} from './types.js';

/** Receives each token of one generation exactly once and in order. */
export type GenerationListener = {
	/** @param silenceMs - time since the previous token; undefined for the first and after a pause */
	onToken(position: number, text: string, silenceMs: number | undefined): void;
	onFinish(reason: FinishReason, tokenCount: number): void;
	/** The generation cannot be read to its end; no other call follows. */
	onLost(error: ProblemError): void;
	/** A new connection replaces the current one. */
	onReopen(cause: ReopenCause): void;
};

export type GenerationReaderOptions = {
	readonly engine: Engine;
	readonly generationId: string;
	/** Position of the first token to read. */
	readonly firstPosition: number;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly limits: RelayLimits;
	readonly listener: GenerationListener;
};

/** Reads one generation from its engine; opens new connections when one stalls or fails. */
export type GenerationReader = {
	readonly nextPosition: number;
	/** Starts the generation at the engine. */
	start(request: EngineRequest): void;
	/** Opens a connection to a generation that has already been started. */
	reopen(): void;
	pause(): void;
	resume(): void;
	/** Stops reading; the generation continues at the engine. */
	close(): void;
	/** Cancels the generation, unless another entry VM may have opened a connection to it. */
	cancel(): Promise<void>;
};

// Number of connections to pass to `cancel` if the start got no response: if the engine received the
// start, that was its first connection.
const linkCountOfStart = 1;

/** Creates a reader; call `start` or `reopen` to open its first connection. */
export function createGenerationReader(
	options: GenerationReaderOptions,
): GenerationReader {
	const {engine, generationId, clock, timers, random, limits, listener} =
		options;
	const sequencer = createStreamSequencer(options.firstPosition);
	let stream: EngineStream | undefined;
	// Identifies the current connection; late chunks of earlier connections are ignored.
	let currentConnection = 0;
	let knownLinkCount: number | undefined;
	let wasStartedHere = false;
	let mayHaveForeignConnection = false;
	let consecutiveFailures = 0;
	let isPaused = false;
	let isClosed = false;
	let lastText: string | undefined;
	let retry: Disposable | undefined;

	const recordLinkCount = () => {
		const count = stream?.connectionCount;
		if (count === undefined || count === knownLinkCount) {
			return;
		}

		// A skipped number may be the connection of another VM, so this reader must not cancel the generation
		// any more. It may also be a reopen by this reader whose response was lost.
		mayHaveForeignConnection ||=
			knownLinkCount !== undefined && count > knownLinkCount + 1;
		knownLinkCount = count;
	};

	const closeConnection = () => {
		recordLinkCount();
		currentConnection++;
		stallDetector.connectionClosed();
		stream?.close();
		stream = undefined;
	};

	const close = () => {
		isClosed = true;
		retry?.dispose();
		closeConnection();
	};

	const failAsLost = (error: ProblemError) => {
		close();
		listener.onLost(error);
	};

	const stallDetector = createStallDetector({
		clock,
		timers,
		limits,
		onStalled() {
			if (stallDetector.silenceMs >= limits.silenceLostMs) {
				failAsLost(
					new ProblemError(
						'target-unavailable',
						`engine sent no token for ${limits.silenceLostMs} ms`,
					),
				);
			} else {
				listener.onReopen('stalled');
				openConnection();
			}
		},
	});

	const reopenAfterFailure = (cause: ReopenCause, error: ProblemError) => {
		closeConnection();
		consecutiveFailures++;
		if (consecutiveFailures > limits.maxReopens) {
			failAsLost(error);
			return;
		}

		listener.onReopen(cause);
		if (consecutiveFailures === 1) {
			openConnection();
			return;
		}

		const delayMs = fullJitterMs(
			random,
			consecutiveFailures - 1,
			limits.backoffBaseMs,
			limits.backoffMaxMs,
		);
		retry = timers.after(delayMs, openConnection);
	};

	const listenerFor = (connectionNumber: number): EngineStreamListener => ({
		onToken(position, text) {
			if (connectionNumber !== currentConnection) {
				return;
			}

			const verdict = sequencer.accept(position);
			if (verdict === 'deliver') {
				consecutiveFailures = 0;
				lastText = text;
				listener.onToken(position, text, stallDetector.tokenReceived());
			} else if (verdict === 'gap') {
				reopenAfterFailure(
					'gap',
					new ProblemError('target-protocol', 'engine skipped tokens'),
				);
			} else if (
				position === sequencer.nextPosition - 1 &&
				lastText !== undefined &&
				text !== lastText
			) {
				failAsLost(
					new ProblemError(
						'target-protocol',
						`engine sent two different tokens for position ${position}`,
					),
				);
			}
		},
		onFinish(reason, tokenCount) {
			if (connectionNumber !== currentConnection) {
				return;
			}

			let verdict;
			try {
				verdict = sequencer.finish(tokenCount);
			} catch (error) {
				failAsLost(error as ProblemError);
				return;
			}

			if (verdict === 'gap') {
				reopenAfterFailure(
					'gap',
					new ProblemError(
						'target-protocol',
						'engine ended the response before its last token',
					),
				);
			} else {
				close();
				listener.onFinish(reason, tokenCount);
			}
		},
		onFailure(error) {
			if (connectionNumber !== currentConnection) {
				return;
			}

			recordLinkCount();
			const mayReopen =
				error.type === 'target-unavailable' &&
				(!wasStartedHere ||
					knownLinkCount !== undefined ||
					sequencer.nextPosition > options.firstPosition);
			if (mayReopen) {
				reopenAfterFailure('failed', error);
			} else {
				failAsLost(error);
			}
		},
	});

	const open = (
		openStream: (connectionListener: EngineStreamListener) => EngineStream,
	) => {
		closeConnection();
		const connectionNumber = currentConnection;
		const opened = openStream(listenerFor(connectionNumber));
		if (connectionNumber !== currentConnection) {
			opened.close();
			return;
		}

		stream = opened;
		if (isPaused) {
			opened.pause();
		}

		stallDetector.connectionOpened();
	};

	const openConnection = () => {
		open((connectionListener) =>
			engine.reopen(generationId, sequencer.nextPosition, connectionListener),
		);
	};

	return {
		get nextPosition() {
			return sequencer.nextPosition;
		},
		start(request) {
			wasStartedHere = true;
			open((connectionListener) => engine.start(request, connectionListener));
		},
		reopen: openConnection,
		pause() {
			isPaused = true;
			stallDetector.pause();
			stream?.pause();
		},
		resume() {
			if (isPaused && !isClosed) {
				isPaused = false;
				stallDetector.resume();
				stream?.resume();
			}
		},
		close,
		async cancel() {
			if (
				!mayHaveForeignConnection &&
				(wasStartedHere || knownLinkCount !== undefined)
			) {
				await engine.cancel(generationId, knownLinkCount ?? linkCountOfStart);
			}
		},
	};
}
