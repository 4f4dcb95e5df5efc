import {createServer, type Server, type Socket} from 'node:net';

/** A request received by a scripted target, as text. */
export type ReceivedRequest = {
	/** Request line and headers. */
	readonly head: string;
	readonly body: string;
	/** Attempt id from the headers; empty without one. */
	readonly id: string;
};

/** Writes the bytes of a response, valid or not. */
export type TargetScript = (request: ReceivedRequest, socket: Socket) => void;

/** A target whose responses a test determines byte by byte. */
export type ScriptedTarget = {
	readonly server: Server;
	/** Requests received so far. */
	readonly requests: readonly ReceivedRequest[];
};

const idPattern = /^cowslipspread-attempt-id: *(\S+)/im;
const lengthPattern = /^content-length: *(\d+)/im;

/** @returns head of a response that carries the header set by targets only */
export function responseHead(
	{id}: ReceivedRequest,
	...lines: readonly string[]
): string {
	return [
		'HTTP/1.1 200 OK',
		`Cowslipspread-Attempt-Id: ${id}`,
		'Cowslipspread-Runner-Stamp: s',
		...lines,
		'',
		'',
	].join('\r\n');
}

/** Creates a target. The caller makes the server listen. */
export function createScriptedTarget(script: TargetScript): ScriptedTarget {
	const requests: ReceivedRequest[] = [];
	const server = createServer((socket) => {
		let text = '';
		socket.on('error', () => {
			// Clients abort connections in some tests.
		});
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
			for (;;) {
				const end = text.indexOf('\r\n\r\n');
				const head = text.slice(0, end + 4);
				const length = Number(lengthPattern.exec(head)?.[1] ?? 0);
				if (end === -1 || text.length < end + 4 + length) {
					return;
				}

				const body = text.slice(end + 4, end + 4 + length);
				text = text.slice(end + 4 + length);
				const request = {head, body, id: idPattern.exec(head)?.[1] ?? ''};
				requests.push(request);
				script(request, socket);
			}
		});
	});
	return {server, requests};
}
