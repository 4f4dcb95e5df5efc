import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {ResponseHead, HeaderPair} from '../../common/index.js';
import type {
	CallerResponse,
	BufferUsage,
} from '../../decisions/serving/index.js';

const bodylessStatuses: ReadonlySet<number> = new Set([204, 304]);

function withoutLength(headers: readonly HeaderPair[]): HeaderPair[] {
	return headers.filter(([name]) => name.toLowerCase() !== 'content-length');
}

/**
 * Creates the response writer for one request of a caller.
 * @param unreadUsage - memory of the response bytes that the caller has not read
 * @param onStalled - called if these bytes exceed their limit or the VM has no memory for them; the
 * connection is then closed
 */
export function createCallerResponse(
	response: ServerResponse,
	unreadUsage: BufferUsage,
	onStalled: (unreadBytes: number) => void,
): CallerResponse {
	const writeHead = (status: number, headers: readonly HeaderPair[]) => {
		response.writeHead(status, headers.flat());
	};

	const updateUnreadUsage = () => {
		if (unreadUsage.set(response.writableLength)) {
			onStalled(response.writableLength);
			response.destroy();
		}
	};

	response.once('close', () => {
		unreadUsage.dispose();
	});
	return {
		get isHeadSent() {
			return response.headersSent;
		},
		startStream(head: ResponseHead) {
			writeHead(head.status, withoutLength(head.headers));
		},
		write(bytes) {
			if (response.destroyed) {
				return;
			}

			response.write(bytes);
			updateUnreadUsage();
		},
		end() {
			response.end();
		},
		sendResponse(head, body) {
			const headers = withoutLength(head.headers);
			if (!bodylessStatuses.has(head.status)) {
				headers.push(['Content-Length', String(body.length)]);
			}

			writeHead(head.status, headers);
			response.end(body);
			updateUnreadUsage();
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
