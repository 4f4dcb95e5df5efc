import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {responseHead, type TargetScript} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	requestHead,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

/** More than the buffers of a loopback connection hold beyond the bytes that the daemon reads. */
const maxSentBytes = 33_554_432;
const blockBytes = 65_536;
const routeTimeoutMs = 20_000;

/** A response that never ends: its start, and a block that is repeated. */
type Flood = {
	readonly head: (request: Parameters<TargetScript>[0]) => string;
	readonly block: string;
};

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const filler = 'x'.repeat(blockBytes);

const floods: Readonly<Record<string, Flood>> = {
	'a body without a length': {
		head: (request) => responseHead(request, 'Connection: close'),
		block: filler,
	},
	'a body with a length that is never reached': {
		head: (request) => responseHead(request, 'Content-Length: 99999999999'),
		block: filler,
	},
	'a head that never ends': {
		head: () => 'HTTP/1.1 200 OK\r\nX-Long: ',
		block: filler,
	},
	'header lines that never end': {
		head: () => 'HTTP/1.1 200 OK\r\n',
		block: 'X-Line: value\r\n'.repeat(4000),
	},
	'interim responses that never end': {
		head: () => '',
		block: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(2500),
	},
	'a chunk extension that never ends': {
		head: (request) =>
			`${responseHead(request, 'Transfer-Encoding: chunked')}5;name=`,
		block: filler,
	},
	'trailers that never end': {
		head: (request) =>
			`${responseHead(request, 'Transfer-Encoding: chunked')}0\r\nX-Long: `,
		block: filler,
	},
};

const eventFloods: Readonly<Record<string, Flood>> = {
	'an event that never ends': {
		head: (request) =>
			`${responseHead(request, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked')}${chunk('id: 1\ndata: a\n\n')}${chunk('id: 2\ndata: ')}`,
		block: chunk(filler),
	},
	'one line after the other without an event': {
		head: (request) =>
			`${responseHead(request, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked')}${chunk('id: 1\ndata: a\n\n')}`,
		block: chunk('data: a\n'.repeat(8000)),
	},
};

/** Writes blocks until the connection is closed. */
function writeFlood(
	socket: Socket,
	{block}: Flood,
	onSent: (bytes: number) => void,
) {
	const writeUntilFull = () => {
		while (!socket.destroyed) {
			onSent(block.length);
			if (!socket.write(block)) {
				socket.once('drain', writeUntilFull);
				return;
			}
		}
	};

	writeUntilFull();
}

const routes = [
	{
		name: 'stock',
		prefix: '/stock/',
		kind: 'idempotent',
		service: 'desk',
		timeoutMs: routeTimeoutMs,
	},
	{
		name: 'book',
		prefix: '/book/',
		kind: 'non_idempotent',
		service: 'desk',
		timeoutMs: routeTimeoutMs,
	},
	{
		name: 'report',
		prefix: '/report/',
		kind: 'stream',
		service: 'model',
		timeoutMs: routeTimeoutMs,
	},
] as const;

const findFlood = (path: string): Flood | undefined => {
	const name = decodeURIComponent(path);
	return floods[name] ?? eventFloods[name];
};

test("cuts off a target's endless response at the size limit, while other requests are served", async (context) => {
	const sentBytes = new Map<string, number>();
	const closed = new Set<string>();
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			const [, name = ''] = /^POST \/\w+\/(\S+) /.exec(request.head) ?? [];
			const found = findFlood(name);
			if (found) {
				socket.once('close', () => closed.add(request.id));
				socket.write(found.head(request));
				writeFlood(socket, found, (bytes) => {
					sentBytes.set(request.id, (sentBytes.get(request.id) ?? 0) + bytes);
				});
			} else {
				socket.write(responseHead(request, 'Content-Length: 2') + 'ok');
			}
		},
	);
	store.put('op', 'config', fixtureConfiguration(3, undefined, routes));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/sound')) === 200);

	for (const name of Object.keys({...floods, ...eventFloods})) {
		const isStream = name in eventFloods;
		await context.test(name, async () => {
			const path = `/${isStream ? 'report' : 'book'}/${encodeURIComponent(name)}`;
			const id = name.replaceAll(' ', '-');
			const headers = {'Cowslipspread-Attempt-Id': id};
			const endless = call(front, path, headers, 'POST');
			const sound = await Promise.all(
				Array.from({length: 5}, async () => statusOf(front, '/stock/sound')),
			);
			assert.deepEqual(sound, [200, 200, 200, 200, 200]);
			const response = await endless;
			// The send is broken off at the size limit; 504 would be the route's timeout.
			assert.deepEqual(
				[response.status, response.aborted],
				isStream ? [200, true] : [502, false],
			);
			await until(() => closed.has(id));
			assert.ok((sentBytes.get(id) ?? 0) < maxSentBytes);
		});
	}
});

test('closes the connection of a caller that does not read its stream, before the buffered events fill the memory', async (context) => {
	let sentBytes = 0;
	let isClosed = false;
	const eventOf = (id: number) =>
		chunk(`id: ${id}\ndata: ${'x'.repeat(1000)}\n\n`);
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			if (request.id !== 'unread') {
				socket.write(responseHead(request, 'Content-Length: 2') + 'ok');
				return;
			}

			socket.once('close', () => {
				isClosed = true;
			});
			socket.write(
				responseHead(
					request,
					'Content-Type: text/event-stream',
					'Transfer-Encoding: chunked',
				),
			);
			// Successive ids, so that each event is forwarded; the block holds more than the daemon reads.
			const block = Array.from({length: 15_000}, (_, index) =>
				eventOf(index + 1),
			).join('');
			writeFlood(socket, {head: () => '', block}, (bytes) => {
				sentBytes += bytes;
			});
		},
	);
	store.put('op', 'config', fixtureConfiguration(3, undefined, routes));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/sound')) === 200);
	const caller = connect(front, '127.0.0.1');
	context.after(() => caller.destroy());
	caller.on('error', () => {
		// The daemon resets the connection.
	});
	caller.pause();
	caller.write(
		requestHead(
			'/report/1',
			'Cowslipspread-Attempt-Id: unread',
			'Content-Length: 0',
		),
	);
	await until(() => isClosed);
	assert.ok(sentBytes < maxSentBytes, `the daemon read ${sentBytes} bytes`);
	assert.equal(await statusOf(front, '/stock/sound'), 200);
});
