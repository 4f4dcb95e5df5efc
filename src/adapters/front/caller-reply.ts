import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {AnswerHead, HeaderPair} from '../../common/index.js';
import type {CallerReply} from '../../decisions/serving/index.js';

/** Bytes that may wait for a caller that does not read. */
const maxUnreadBytes = 4_194_304;

const bodyless: ReadonlySet<number> = new Set([204, 304]);

function withoutLength(headers: readonly HeaderPair[]): HeaderPair[] {
	return headers.filter(([name]) => name.toLowerCase() !== 'content-length');
}

/** Creates the way back to the caller of one request. */
export function createCallerReply(response: ServerResponse): CallerReply {
	const head = (status: number, headers: readonly HeaderPair[]) => {
		response.writeHead(status, headers.flat());
	};

	return {
		get hasHead() {
			return response.headersSent;
		},
		begin(answer: AnswerHead) {
			head(answer.status, withoutLength(answer.headers));
		},
		data(bytes) {
			response.write(bytes);
			if (response.writableLength > maxUnreadBytes) {
				response.destroy();
			}
		},
		end() {
			response.end();
		},
		whole(answer, body) {
			const headers = withoutLength(answer.headers);
			if (!bodyless.has(answer.status)) {
				headers.push(['Content-Length', String(body.length)]);
			}

			head(answer.status, headers);
			response.end(body);
		},
		own(status, message, headers = []) {
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
