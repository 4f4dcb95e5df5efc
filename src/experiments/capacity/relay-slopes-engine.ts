import {createServer, type ServerResponse} from 'node:http';
import process from 'node:process';

const tickMs = 5;
const port = Number(process.argv[2]);
const tokensPerSecond = Number(process.argv[3]);

type Stream = {
	readonly id: string;
	readonly response: ServerResponse;
	position: number;
};

// Sends one token at a time to each stream in turn, so that the sum keeps the rate.
const streams: Stream[] = [];
let next = 0;
let due = 0;
let lastMs = performance.now();

setInterval(() => {
	const nowMs = performance.now();
	due = Math.min(
		streams.length,
		due + ((nowMs - lastMs) / 1000) * tokensPerSecond,
	);
	lastMs = nowMs;
	while (due >= 1) {
		due--;
		next = (next + 1) % streams.length;
		const stream = streams[next];
		const position = stream.position++;
		stream.response.write(
			`id: ${position}\ndata: {"id":"${stream.id}","choices":[{"text":"${stream.id}:${position} ","index":0}]}\n\n`,
		);
	}
}, tickMs);

createServer((request, response) => {
	request.resume();
	if (request.method !== 'POST') {
		response.end('{}');
		return;
	}

	const stream = {
		id: String(request.headers['x-request-id']),
		response,
		position: 0,
	};
	streams.push(stream);
	response.on('close', () => {
		streams.splice(streams.indexOf(stream), 1);
	});
	response.writeHead(200, {
		'content-type': 'text/event-stream',
		etag: '"1"',
	});
	response.flushHeaders();
}).listen(port, '127.0.0.1');
