import {createServer, type Server, type Socket} from 'node:net';

/** A request as it arrived at a target. */
export type ReceivedRequest = {
	readonly head: string;
	readonly body: string;
	readonly id: string;
};

/** Writes the bytes of an answer, well-formed or not. */
export type TargetScript = (request: ReceivedRequest, socket: Socket) => void;

/** A target that answers byte by byte as a test says. */
export type ScriptedTarget = {
	readonly server: Server;
	readonly requests: readonly ReceivedRequest[];
};

const idPattern = /^cowslipspread-attempt-id: *(\S+)/im;
const lengthPattern = /^content-length: *(\d+)/im;

/** Head of an answer that bears the mark of a target. */
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

/** Creates a target; the owner makes it listen. */
export function createScriptedTarget(script: TargetScript): ScriptedTarget {
	const requests: ReceivedRequest[] = [];
	const server = createServer((socket) => {
		let text = '';
		socket.on('error', () => {
			// A caller that breaks a connection off is part of some tests.
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
