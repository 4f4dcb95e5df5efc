import type {FinishReason, ProblemError} from '../../../common/index.js';
import type {
	CallerSink,
	GenerationPlacement,
} from '../../../decisions/streams/index.js';
import type {VirtualTime} from '../../fakes/index.js';

/** What a caller sees on a connection. */
export type ConnectionListener = {
	onPlacement(place: GenerationPlacement, position: number | undefined): void;
	onToken(position: number, text: string): void;
	onFinished(reason: FinishReason, tokenCount: number): void;
	onFailed(problem: ProblemError): void;
	/** The connection broke before the answer's end. */
	onBroken(): void;
};

/** A connection between a simulated caller and an entry VM. */
export type CallerConnection = {
	readonly sink: CallerSink;
	readonly isClosed: boolean;
	/** Attaches the entry VM's side. */
	attach(entry: {onDrained(): void; onClosed(): void}): void;
	/** The entry VM is gone; what is on its way is lost. */
	abort(): void;
	/** The caller goes away. */
	closeByCaller(): void;
};

/** Options of a connection. */
export type CallerConnectionOptions = {
	readonly time: VirtualTime;
	readonly latencyMs: number;
	/** Time that the caller needs for one token, in milliseconds. */
	readonly readMsPerToken: number;
	/** Tokens on their way beyond which the caller counts as slow. */
	readonly maxUnreadTokens: number;
	/** False for a caller that takes one JSON document. */
	readonly resumable: boolean;
	readonly listener: ConnectionListener;
};

/** Creates a connection whose events arrive in order, at the caller's pace. */
export function createCallerConnection(
	options: CallerConnectionOptions,
): CallerConnection {
	const {time, latencyMs, readMsPerToken, maxUnreadTokens, listener} = options;
	let entry: {onDrained(): void; onClosed(): void} | undefined;
	let isClosed = false;
	let isBlocked = false;
	let unread = 0;
	let freeAtMs = 0;

	const send = (run: () => void, costMs: number) => {
		freeAtMs = Math.max(freeAtMs, time.nowMs() + latencyMs) + costMs;
		time.after(freeAtMs - time.nowMs(), () => {
			if (!isClosed) {
				run();
			}
		});
	};

	const close = () => {
		isClosed = true;
		entry?.onClosed();
	};

	const read = () => {
		unread--;
		if (isBlocked && unread === 0) {
			isBlocked = false;
			entry?.onDrained();
		}
	};

	return {
		get isClosed() {
			return isClosed;
		},
		sink: {
			resumable: options.resumable,
			accepted(place) {
				send(() => {
					listener.onPlacement(place, undefined);
				}, 0);
			},
			token(position, text) {
				unread++;
				send(() => {
					listener.onToken(position, text);
					read();
				}, readMsPerToken);
				isBlocked ||= unread >= maxUnreadTokens;
				return !isBlocked;
			},
			restarted(place) {
				send(() => {
					listener.onPlacement(place, 0);
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
			entry = attached;
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
