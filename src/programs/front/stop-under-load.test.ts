import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {responseHead, type TargetScript} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	fixtureKey,
	requestHead,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

const respondAfterMs = 400;
const restOfBodyAfterMs = 700;
/** Longer than the target stand-in takes for all requests one after the other. */
const routeTimeoutMs = 20_000;
/** Twice this time is the longest wait of a stream for a slot; the target stand-in needs three rounds for all. */
const routeObjectiveMs = 5000;
const pauseMs = 300;

const routes = (
	[
		['stock', 'idempotent', 'desk'],
		['book', 'non_idempotent', 'desk'],
		['report', 'stream', 'model'],
	] as const
).map(([name, kind, service]) => ({
	name,
	prefix: `/${name}/`,
	kind,
	service,
	timeoutMs: routeTimeoutMs,
	objectiveMs: routeObjectiveMs,
}));

const slowTarget: TargetScript = (request, socket) => {
	const isStream = request.head.startsWith('POST /report/');
	const body = isStream ? 'id: 1\ndata: a\n\n' : 'whole';
	setTimeout(
		() => {
			socket.write(
				responseHead(
					request,
					...(isStream ? ['Content-Type: text/event-stream'] : []),
					`Content-Length: ${body.length}`,
				) + body,
			);
		},
		request.head.includes('/fast') ? 0 : respondAfterMs,
	);
};

/** Sends a request whose second half of the body follows later; returns the whole response as text. */
async function sendInTwoParts(port: number): Promise<string> {
	return new Promise((resolve, reject) => {
		let text = '';
		const socket = connect(port, '127.0.0.1', () => {
			const head = requestHead(
				'/book/late',
				'Content-Length: 10',
				'Connection: close',
			);
			socket.write(`${head}12345`);
			setTimeout(() => {
				socket.write('67890');
			}, restOfBodyAfterMs);
		});
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1');
		});
		socket.on('end', () => {
			resolve(text);
		});
		socket.on('error', reject);
	});
}

test('a stop under load serves requests just accepted, partly received or sent during the stop, and sends no booking twice', async (context) => {
	const {store, target, daemon, front, entry, isReady} = await startFixture(
		context,
		slowTarget,
	);
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/fast')) === 200);

	const sent = Array.from({length: 40}, async (_, index) =>
		call(
			front,
			['/stock/', '/book/', '/report/'][index % 3] + String(index),
			{},
			index % 3 === 0 ? 'GET' : 'POST',
		),
	);
	const halfSent = Array.from({length: 10}, async () => sendInTwoParts(front));
	// Lets the callers send their first bytes before the stop begins.
	await new Promise((resolve) => {
		setTimeout(resolve, 20);
	});
	const stopped = daemon.stop();
	await new Promise((resolve) => {
		setTimeout(resolve, pauseMs);
	});
	const duringStop = Array.from({length: 10}, async (_, index) =>
		call(front, `/stock/during-${index}`),
	);

	for (const response of await Promise.all([...sent, ...duringStop])) {
		assert.deepEqual(
			[response.status, response.aborted],
			[200, false],
			`${response.status} ${response.body}`,
		);
	}

	for (const text of await Promise.all(halfSent)) {
		assert.match(text, /^HTTP\/1\.1 200 [\s\S]*whole$/);
	}

	await stopped;
	const bookings = target.requests.filter(({head}) =>
		/^POST \/book\/\d/.test(head),
	);
	const paths = new Set(bookings.map(({head}) => head.split(' ')[1]));
	assert.equal(bookings.length, paths.size);
	// Every third of the 40 requests, from the second on.
	assert.equal(bookings.length, 13);
});

test('requests that are still open at the end of the grace time get a response', async (context) => {
	const {store, daemon, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			if (request.head.includes('/fast')) {
				slowTarget(request, socket);
			}
		},
		{grace_s: 4},
	);
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/fast')) === 200);

	const open = ['/stock/', '/book/', '/report/'].map(async (path) =>
		call(front, `${path}1`, {}, path === '/stock/' ? 'GET' : 'POST'),
	);
	await new Promise((resolve) => {
		setTimeout(resolve, pauseMs);
	});
	await daemon.stop();
	for (const response of await Promise.all(open)) {
		assert.deepEqual([response.status, response.aborted], [502, false]);
	}
});
