import type {FinishReason, ProblemError} from '../../../common/index.js';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../../decisions/streams/index.js';
import type {VirtualTime} from '../../fakes/index.js';

/** Receives the events of a connection at the caller. */
export type ConnectionListener = {
	/** @param position - 0 if the stream restarts; undefined at its start or resumption */
	onPlacement(
		placement: GenerationPlacement,
		position: number | undefined,
	): void;
	onToken(position: number, text: string): void;
	onFinished(reason: FinishReason, tokenCount: number): void;
	onFailed(problem: ProblemError): void;
	/** The connection broke before the end of the stream. */
	onBroken(): void;
};

/** A simulated connection between a caller and an entry VM. */
export type CallerConnection = {
	/** Sink to which the relay of the entry VM writes. */
	readonly sink: CallerSink;
	readonly isClosed: boolean;
	/** Sets the listener of the entry VM. */
	attach(entryListener: {onDrained(): void; onClosed(): void}): void;
	/** Breaks the connection because the entry VM failed; events in flight are lost. */
	abort(): void;
	/** Closes the connection because the caller disconnected. */
	closeByCaller(): void;
};

export type CallerConnectionOptions = {
	readonly time: VirtualTime;
	readonly latencyMs: number;
	/** Time that the caller needs to read one token. */
	readonly readMsPerToken: number;
	/** Number of unread tokens from which on the sink asks the relay to wait until it is drained. */
	readonly maxUnreadTokens: number;
	/** False for a caller that reads the answer as one JSON document. */
	readonly resumable: boolean;
	readonly listener: ConnectionListener;
};

/** Creates a connection that delivers events in order, at the pace at which the caller reads. */
export function createCallerConnection(
	options: CallerConnectionOptions,
): CallerConnection {
	const {time, latencyMs, readMsPerToken, maxUnreadTokens, listener} = options;
	let entryListener: {onDrained(): void; onClosed(): void} | undefined;
	let isClosed = false;
	let isBlocked = false;
	let unreadTokens = 0;
	let deliveryMs = 0;

	const send = (deliver: () => void, readDurationMs: number) => {
		deliveryMs =
			Math.max(deliveryMs, time.nowMs() + latencyMs) + readDurationMs;
		time.after(deliveryMs - time.nowMs(), () => {
			if (!isClosed) {
				deliver();
			}
		});
	};

	const close = () => {
		isClosed = true;
		entryListener?.onClosed();
	};

	const recordRead = () => {
		unreadTokens--;
		if (isBlocked && unreadTokens === 0) {
			isBlocked = false;
			entryListener?.onDrained();
		}
	};

	return {
		get isClosed() {
			return isClosed;
		},
		sink: {
			resumable: options.resumable,
			accepted(placement) {
				send(() => {
					listener.onPlacement(placement, undefined);
				}, 0);
			},
			token(position, text) {
				unreadTokens++;
				send(() => {
					listener.onToken(position, text);
					recordRead();
				}, readMsPerToken);
				isBlocked ||= unreadTokens >= maxUnreadTokens;
				return !isBlocked;
			},
			restarted(placement) {
				send(() => {
					listener.onPlacement(placement, 0);
				}, 0);
			},
			keepAlive: () => undefined,
			finished(reason, tokenCount) {
				send(() => {
					close();
					listener.onFinished(reason, tokenCount);
				}, 0);
			},
			failed(problem) {
				send(() => {
					close();
					listener.onFailed(problem);
				}, 0);
			},
		},
		attach(attached) {
			entryListener = attached;
		},
		abort() {
			if (!isClosed) {
				isClosed = true;
				time.after(latencyMs, () => {
					listener.onBroken();
				});
			}
		},
		closeByCaller() {
			if (!isClosed) {
				close();
			}
		},
	};
}
