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

const answerAfterMs = 400;
const restOfBodyAfterMs = 700;
/** Longer than the stand-in takes to answer all in turn. */
const routeTimeoutMs = 20_000;
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
		request.head.includes('/fast') ? 0 : answerAfterMs,
	);
};

/** Sends a request whose body is whole only after some time, and gives the answer's bytes. */
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

test('guards against a stop under load that cuts requests just accepted off without an answer', async (context) => {
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
	// The first bytes of all have left their callers when the stop begins.
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

	for (const answer of await Promise.all([...sent, ...duringStop])) {
		assert.deepEqual(
			[answer.status, answer.aborted],
			[200, false],
			`${answer.status} ${answer.body}`,
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
	assert.equal(bookings.length, 13);
});

test('guards against a stop whose grace time ends without an answer for what is still open', async (context) => {
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
	for (const answer of await Promise.all(open)) {
		assert.deepEqual([answer.status, answer.aborted], [502, false]);
	}
});
