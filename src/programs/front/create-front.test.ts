import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {test} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {
	createStoreStandin,
	responseHead,
	type TargetScript,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration as configuration,
	listenOn,
	startDaemon,
	startFixture as start,
	statusOf,
	until,
} from './testing/index.js';

const respondOk: TargetScript = (request, socket) => {
	const body = `to ${request.id}`;
	socket.write(responseHead(request, `Content-Length: ${body.length}`) + body);
};

test('becomes ready despite a malformed entry, serves calls without passing on the API key, keeps the newest configuration, avoids a draining target and stops', async (context) => {
	const {store, target, daemon, front, entry, isReady} = await start(
		context,
		respondOk,
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

test('during a store outage a stream that breaks does not look complete, a booking with a lost answer is not to be retried, and calls are served', async (context) => {
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
				respondOk(request, socket);
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

test('a VM that alone cannot reach the store serves with the tables of a peer', async (context) => {
	const ports = await findFreePorts(4);
	const [front, , peer, unusedPort] = ports;
	const {store, entry, isReady} = await start(context, respondOk);
	store.put('op', 'config', configuration(3));
	store.put('servers', 't1', entry('desk'));
	store.put('cowslip-vms', 'edge-2', {
		address: `127.0.0.1:${peer}`,
		availabilityZone: 'zone-1',
	});
	await until(isReady);
	const isolated = await startDaemon(context, unusedPort, ports);
	await until(isolated.isReady);
	assert.equal(await statusOf(front, '/stock/1'), 200);
	store.put('op', 'config', configuration(8, ['key-2']));
	await until(
		async () =>
			(await statusOf(front, '/stock/1', {'Api-Key': 'key-2'})) === 200,
	);
});

test('a daemon that cannot listen releases what it holds, so that it can be started again', async (context) => {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	const ports = await findFreePorts(3);
	const holder = createServer();
	await new Promise<void>((resolve) => {
		holder.listen(ports[1], '127.0.0.1', resolve);
	});
	await assert.rejects(startDaemon(context, storePort, ports), {
		code: 'EADDRINUSE',
	});
	await new Promise((resolve) => {
		holder.close(resolve);
	});
	store.put('op', 'config', configuration(3));
	const daemon = await startDaemon(context, storePort, ports);
	await until(daemon.isReady);
});
