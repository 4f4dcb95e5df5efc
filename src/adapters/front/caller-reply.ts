import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead, HeaderPair} from '../../common/index.js';
import type {
	CallerResponse,
	BufferUsage,
} from '../../decisions/serving/index.js';

const bodyless: ReadonlySet<number> = new Set([204, 304]);

function withoutLength(headers: readonly HeaderPair[]): HeaderPair[] {
	return headers.filter(([name]) => name.toLowerCase() !== 'content-length');
}

/**
 * Creates the way back to the caller of one request.
 * @param unread - what waits for the caller to read it
 * @param onStalled - more waits than may
 */
export function createCallerReply(
	response: ServerResponse,
	unread: BufferUsage,
	onStalled: (unreadBytes: number) => void,
): CallerResponse {
	const head = (status: number, headers: readonly HeaderPair[]) => {
		response.writeHead(status, headers.flat());
	};

	const noteUnread = () => {
		if (unread.set(response.writableLength)) {
			onStalled(response.writableLength);
			response.destroy();
		}
	};

	response.once('close', () => {
		unread.dispose();
	});
	return {
		get isHeadSent() {
			return response.headersSent;
		},
		startStream(answer: ResponseHead) {
			head(answer.status, withoutLength(answer.headers));
		},
		write(bytes) {
			if (response.destroyed) {
				return;
			}

			response.write(bytes);
			noteUnread();
		},
		end() {
			response.end();
		},
		sendResponse(answer, body) {
			const headers = withoutLength(answer.headers);
			if (!bodyless.has(answer.status)) {
				headers.push(['Content-Length', String(body.length)]);
			}

			head(answer.status, headers);
			response.end(body);
			noteUnread();
		},
		sendLocalResponse(status, message, headers = []) {
			const body = `${JSON.stringify({status, detail: message})}\n`;
			head(status, [
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
