import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	fixtureConfiguration,
	requestHead,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

/** More than the daemon buffers for a caller and the sockets hold. */
const eventCount = 12_000;
const eventBytes = 1000;
const readIntervalMs = 2;
const routeTimeoutMs = 30_000;

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const eventText = (id: number) =>
	`id: ${id}\ndata: ${id} ${'x'.repeat(eventBytes)};\n\n`;

test('a stream that arrives faster than its caller reads is not cut', async (context) => {
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			if (!request.head.startsWith('POST /report/slow')) {
				socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
				return;
			}

			socket.write(
				responseHead(
					request,
					'Content-Type: text/event-stream',
					'Transfer-Encoding: chunked',
				),
			);
			for (let id = 1; id <= eventCount; id++) {
				socket.write(chunk(eventText(id)));
			}

			socket.write('0\r\n\r\n');
		},
	);
	store.put(
		'op',
		'config',
		fixtureConfiguration(3, undefined, [
			{
				name: 'stock',
				prefix: '/stock/',
				kind: 'idempotent',
				service: 'desk',
			},
			{
				name: 'report',
				prefix: '/report/',
				kind: 'stream',
				service: 'model',
				timeoutMs: routeTimeoutMs,
			},
		]),
	);
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/sound')) === 200);

	const caller = connect(front, '127.0.0.1');
	context.after(() => caller.destroy());
	let text = '';
	const finished = new Promise<void>((resolve) => {
		caller.on('data', (bytes) => {
			text += bytes.toString('latin1');
			if (text.endsWith('0\r\n\r\n')) {
				resolve();
			}

			caller.pause();
			setTimeout(() => {
				caller.resume();
			}, readIntervalMs);
		});
		caller.on('close', () => {
			resolve();
		});
	});
	caller.write(
		requestHead(
			'/report/slow',
			'Cowslipspread-Attempt-Id: slow',
			'Content-Length: 0',
		),
	);
	await finished;
	const ids = [...text.matchAll(/data: (\d+) x+;/g)].map(([, id]) =>
		Number(id),
	);
	assert.equal(ids.length, eventCount);
	assert.ok(ids.every((id, index) => id === index + 1));
	assert.ok(text.endsWith('0\r\n\r\n'));
});
