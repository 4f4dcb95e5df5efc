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

/** Receives each token of one generation once and in order. */
export type GenerationListener = {
	/** @param silenceMs - time since the token before, undefined for the first and after a pause */
	onToken(position: number, text: string, silenceMs: number | undefined): void;
	onFinish(reason: FinishReason, tokenCount: number): void;
	/** The generation cannot be read to its end. */
	onLost(error: ProblemError): void;
	onReopen(cause: ReopenCause): void;
};

/** What a reader needs. */
export type GenerationReaderOptions = {
	readonly engine: Engine;
	readonly generationId: string;
	/** First position wanted. */
	readonly firstPosition: number;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly limits: RelayLimits;
	readonly listener: GenerationListener;
};

/** Reads one generation over as many links as it takes. */
export type GenerationReader = {
	readonly nextPosition: number;
	/** Starts the generation at the engine. */
	start(request: EngineRequest): void;
	/** Opens a link to a generation that was started before. */
	reopen(): void;
	pause(): void;
	resume(): void;
	/** Stops reading; the generation goes on. */
	close(): void;
	/** Cancels the generation unless another reader may have opened a link to it. */
	cancel(): Promise<void>;
};

// A start that was not answered has opened the first link if it arrived.
const linkCountOfStart = 1;

/** Creates a reader that has not opened a link. */
export function createGenerationReader(
	options: GenerationReaderOptions,
): GenerationReader {
	const {engine, generationId, clock, timers, random, limits, listener} =
		options;
	const sequencer = createStreamSequencer(options.firstPosition);
	let stream: EngineStream | undefined;
	// Tells the current link from those before it, whose late chunks are ignored.
	let linkSerial = 0;
	let knownLinkCount: number | undefined;
	let startedHere = false;
	let foreignLink = false;
	let failures = 0;
	let paused = false;
	let closed = false;
	let lastText: string | undefined;
	let retry: Disposable | undefined;

	const noteLinkCount = () => {
		const count = stream?.connectionCount;
		if (count === undefined || count === knownLinkCount) {
			return;
		}

		// Every number that was skipped may be another VM's link, so this one gives up its right to
		// cancel. It may also be an open of its own whose answer was lost.
		foreignLink ||= knownLinkCount !== undefined && count > knownLinkCount + 1;
		knownLinkCount = count;
	};

	const closeLink = () => {
		noteLinkCount();
		linkSerial++;
		watch.connectionClosed();
		stream?.close();
		stream = undefined;
	};

	const close = () => {
		closed = true;
		retry?.dispose();
		closeLink();
	};

	const lose = (error: ProblemError) => {
		close();
		listener.onLost(error);
	};

	const watch = createStallDetector({
		clock,
		timers,
		limits,
		onStalled() {
			if (watch.silenceMs >= limits.silenceLostMs) {
				lose(
					new ProblemError(
						'target-unavailable',
						`engine sent no token for ${limits.silenceLostMs} ms`,
					),
				);
			} else {
				listener.onReopen('stalled');
				openLink();
			}
		},
	});

	const reopenAfterFailure = (cause: ReopenCause, error: ProblemError) => {
		closeLink();
		failures++;
		if (failures > limits.maxReopens) {
			lose(error);
			return;
		}

		listener.onReopen(cause);
		if (failures === 1) {
			openLink();
			return;
		}

		const delayMs = fullJitterMs(
			random,
			failures - 1,
			limits.backoffBaseMs,
			limits.backoffMaxMs,
		);
		retry = timers.after(delayMs, openLink);
	};

	const listenerFor = (serial: number): EngineStreamListener => ({
		onToken(position, text) {
			if (serial !== linkSerial) {
				return;
			}

			const verdict = sequencer.accept(position);
			if (verdict === 'deliver') {
				failures = 0;
				lastText = text;
				listener.onToken(position, text, watch.tokenReceived());
			} else if (verdict === 'gap') {
				reopenAfterFailure(
					'gap',
					new ProblemError('target-protocol', 'engine leaves out tokens'),
				);
			} else if (
				position === sequencer.nextPosition - 1 &&
				lastText !== undefined &&
				text !== lastText
			) {
				lose(
					new ProblemError(
						'target-protocol',
						`engine sent two different tokens for position ${position}`,
					),
				);
			}
		},
		onFinish(reason, tokenCount) {
			if (serial !== linkSerial) {
				return;
			}

			let verdict;
			try {
				verdict = sequencer.finish(tokenCount);
			} catch (error) {
				lose(error as ProblemError);
				return;
			}

			if (verdict === 'gap') {
				reopenAfterFailure(
					'gap',
					new ProblemError('target-protocol', 'engine ended an answer early'),
				);
			} else {
				close();
				listener.onFinish(reason, tokenCount);
			}
		},
		onFailure(error) {
			if (serial !== linkSerial) {
				return;
			}

			noteLinkCount();
			const mayReopen =
				error.type === 'target-unavailable' &&
				(!startedHere ||
					knownLinkCount !== undefined ||
					sequencer.nextPosition > options.firstPosition);
			if (mayReopen) {
				reopenAfterFailure('failed', error);
			} else {
				lose(error);
			}
		},
	});

	const open = (openStream: (own: EngineStreamListener) => EngineStream) => {
		closeLink();
		const serial = linkSerial;
		const opened = openStream(listenerFor(serial));
		if (serial !== linkSerial) {
			opened.close();
			return;
		}

		stream = opened;
		if (paused) {
			opened.pause();
		}

		watch.connectionOpened();
	};

	const openLink = () => {
		open((own) => engine.reopen(generationId, sequencer.nextPosition, own));
	};

	return {
		get nextPosition() {
			return sequencer.nextPosition;
		},
		start(request) {
			startedHere = true;
			open((own) => engine.start(request, own));
		},
		reopen: openLink,
		pause() {
			paused = true;
			watch.pause();
			stream?.pause();
		},
		resume() {
			if (paused && !closed) {
				paused = false;
				watch.resume();
				stream?.resume();
			}
		},
		close,
		async cancel() {
			if (!foreignLink && (startedHere || knownLinkCount !== undefined)) {
				await engine.cancel(generationId, knownLinkCount ?? linkCountOfStart);
			}
		},
	};
}
