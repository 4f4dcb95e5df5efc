import {createServer, type ServerResponse} from 'node:http';
import process from 'node:process';

// Engine of the relay measurement. Arguments: port to listen on, tokens per second over all streams.
const tickMs = 5;
const port = Number(process.argv[2]);
const tokensPerSecond = Number(process.argv[3]);

type Stream = {
	readonly id: string;
	readonly response: ServerResponse;
	position: number;
};

// Sends single tokens to the streams in turn, so that all streams together get `tokensPerSecond`.
const streams: Stream[] = [];
let nextIndex = 0;
let dueTokens = 0;
let lastMs = performance.now();

setInterval(() => {
	const nowMs = performance.now();
	dueTokens = Math.min(
		streams.length,
		dueTokens + ((nowMs - lastMs) / 1000) * tokensPerSecond,
	);
	lastMs = nowMs;
	while (dueTokens >= 1) {
		dueTokens--;
		nextIndex = (nextIndex + 1) % streams.length;
		const stream = streams[nextIndex];
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
