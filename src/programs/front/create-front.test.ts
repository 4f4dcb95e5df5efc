import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {responseHead, type TargetScript} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration as configuration,
	startDaemon,
	startFixture as start,
	statusOf,
	until,
} from './testing/index.js';

const answerOk: TargetScript = (request, socket) => {
	const body = `to ${request.id}`;
	socket.write(responseHead(request, `Content-Length: ${body.length}`) + body);
};

test('guards against a calm path that is not whole: not ready, ready, served, changed, stopped', async (context) => {
	const {store, target, daemon, front, entry, isReady} = await start(
		context,
		answerOk,
	);
	assert.equal(await isReady(), false);
	const early = await call(front, '/stock/1');
	assert.equal(early.status, 503);
	assert.ok(early.headers['retry-after']);

	store.put('op', 'config', configuration(3));
	store.put('servers', 'odd', 'not an entry');
	store.put('servers', 't1', entry('desk'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	const served = await call(front, '/stock/1?x=2', {
		'Cowslipspread-Attempt-Id': 'q1',
	});
	assert.equal(served.body, 'to q1');
	assert.equal(served.headers['cowslipspread-runner-stamp'], 's');
	const arrived = target.requests.at(-1)?.head ?? '';
	assert.match(arrived, /^GET \/stock\/1\?x=2 HTTP/);
	assert.match(arrived, /cowslipspread-tenant: finishers/i);
	assert.doesNotMatch(arrived, /api-key/i);
	assert.equal(await statusOf(front, '/none/'), 404);
	assert.equal(await statusOf(front, '/stock/1', {'Api-Key': 'x'}), 401);

	store.put('op', 'config', configuration(8, ['key-2']));
	await until(async () => (await statusOf(front, '/stock/1')) === 401);
	store.put('op', 'config', configuration(5));
	await new Promise((resolve) => {
		setTimeout(resolve, 100);
	});
	assert.equal(await statusOf(front, '/stock/1'), 401);

	store.put('servers', 't1', entry('desk', 'draining'));
	await until(
		async () =>
			(await statusOf(front, '/stock/1', {'Api-Key': 'key-2'})) === 503,
	);
	const stopped = daemon.stop();
	await until(async () => !(await isReady()));
	assert.equal(await statusOf(front, '/none/'), 404);
	await stopped;
});

test('guards against answers that end early and look whole, and against an outage of the store that stops service', async (context) => {
	const {store, front, entry, isReady} = await start(
		context,
		(request, socket) => {
			if (request.head.startsWith('POST /report/whole')) {
				const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
				socket.end(
					responseHead(
						request,
						'Content-Type: text/event-stream',
						`Content-Length: ${events.length}`,
					) + events,
				);
			} else if (request.head.startsWith('POST /report/')) {
				socket.write(
					`${responseHead(request, 'Transfer-Encoding: chunked')}f\r\nid: 1\ndata: a\n\n\r\n`,
				);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			} else if (request.head.startsWith('POST /book/')) {
				socket.resetAndDestroy();
			} else {
				answerOk(request, socket);
			}
		},
	);
	store.put('op', 'config', configuration(3));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	store.respondWith(503);
	const whole = await call(front, '/report/whole', {}, 'POST');
	assert.deepEqual(
		[whole.status, whole.body, whole.aborted],
		[200, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n', false],
	);
	const cut = await call(front, '/report/cut', {}, 'POST');
	assert.deepEqual([cut.body, cut.aborted], ['id: 1\ndata: a\n\n', true]);
	const booking = await call(front, '/book/1', {}, 'POST');
	assert.deepEqual(
		[booking.status, booking.headers['retry-after']],
		[502, undefined],
	);
	assert.equal(await statusOf(front, '/stock/1'), 200);
});

test('guards against a VM that serves nobody because it alone cannot reach the store', async (context) => {
	const others = await findFreePorts(4);
	const [front, , peer, nobody] = others;
	const {store, entry, isReady} = await start(context, answerOk);
	store.put('op', 'config', configuration(3));
	store.put('servers', 't1', entry('desk'));
	store.put('cowslip-vms', 'edge-2', {
		address: `127.0.0.1:${peer}`,
		availabilityZone: 'zone-1',
	});
	await until(isReady);
	const cutOff = await startDaemon(context, nobody, others);
	await until(cutOff.isReady);
	assert.equal(await statusOf(front, '/stock/1'), 200);
	store.put('op', 'config', configuration(8, ['key-2']));
	await until(
		async () =>
			(await statusOf(front, '/stock/1', {'Api-Key': 'key-2'})) === 200,
	);
});
