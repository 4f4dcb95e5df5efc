import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {
	createEmitter,
	type Disposable,
	type ResponseHead,
	type HeaderPair,
	type Timers,
} from '../../common/index.js';
import type {
	CallerResponse,
	BufferUsage,
} from '../../decisions/serving/index.js';

const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

function withoutLength(headers: readonly HeaderPair[]): HeaderPair[] {
	return headers.filter(([name]) => name.toLowerCase() !== 'content-length');
}

/** Memory of the queue entries that one write takes until the caller has read it, in bytes. */
const writeOverheadBytes = 512;

export type CallerResponseOptions = {
	/** True while this VM stops; the connection is then closed after the response. */
	readonly isStopping: () => boolean;
	/** Memory of what the caller has not read. */
	readonly unreadUsage: BufferUsage;
	/** Time in which a caller must read what waits for it, in milliseconds. */
	readonly maxUnreadMs: number;
	readonly timers: Timers;
	/**
	 * Called if unread bytes exceed their limit, wait too long, or the VM has no memory for them; the
	 * connection is then closed.
	 */
	readonly onStalled: (unreadBytes: number) => void;
};

/** Creates the response writer for one request of a caller. */
export function createCallerResponse(
	response: ServerResponse,
	{
		isStopping,
		unreadUsage,
		maxUnreadMs,
		timers,
		onStalled,
	}: CallerResponseOptions,
): CallerResponse {
	const drained = createEmitter<void>();
	let unreadWriteCount = 0;
	let unreadTimeout: Disposable | undefined;

	const writeHead = (status: number, headers: readonly HeaderPair[]) => {
		if (isStopping()) {
			response.shouldKeepAlive = false;
		}

		response.writeHead(status, headers.flat());
	};

	const closeStalled = () => {
		onStalled(response.writableLength);
		response.destroy();
	};

	/** @returns true if a limit is exceeded */
	const updateUnreadUsage = () =>
		unreadUsage.set(
			response.writableLength + unreadWriteCount * writeOverheadBytes,
		) !== undefined;

	const writeCompleted = () => {
		unreadWriteCount--;
		if (!response.destroyed) {
			updateUnreadUsage();
		}
	};

	const stopTimeout = () => {
		unreadTimeout?.dispose();
		unreadTimeout = undefined;
	};

	response.on('drain', () => {
		stopTimeout();
		drained.fire();
	});
	response.once('close', () => {
		stopTimeout();
		unreadUsage.dispose();
		drained.dispose();
	});
	return {
		get isHeadSent() {
			return response.headersSent;
		},
		get isCongested() {
			return response.writableNeedDrain;
		},
		onDrained: drained.event,
		startStream(head: ResponseHead) {
			writeHead(head.status, withoutLength(head.headers));
		},
		write(bytes) {
			if (response.destroyed) {
				return;
			}

			unreadWriteCount++;
			response.write(bytes, writeCompleted);
			if (updateUnreadUsage()) {
				closeStalled();
			} else if (response.writableNeedDrain) {
				unreadTimeout ??= timers.after(maxUnreadMs, closeStalled);
			}
		},
		end() {
			stopTimeout();
			response.end();
		},
		sendResponse(head, body) {
			const headers = withoutLength(head.headers);
			if (!bodylessStatuses.has(head.status)) {
				headers.push(['Content-Length', String(body.length)]);
			}

			writeHead(head.status, headers);
			response.end(body);
			if (updateUnreadUsage()) {
				closeStalled();
			}
		},
		sendLocalResponse(status, message, headers = []) {
			const body = `${JSON.stringify({status, detail: message})}\n`;
			writeHead(status, [
				...headers,
				['Content-Type', 'application/problem+json'],
				['Content-Length', String(Buffer.byteLength(body))],
			]);
			response.end(body);
		},
		abort() {
			response.destroy();
		},
	};
}
