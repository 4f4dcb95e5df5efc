import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {
	Agent,
	request as httpRequest,
	type IncomingHttpHeaders,
} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {
	answerHead,
	bootFile,
	configurationRow,
	createStoreStandin,
	createTargetStandin,
	targetRow,
	type TargetScript,
} from '../../platform/testing/index.js';
import {createFront} from './create-front.js';
import {readBootFile} from './front-settings.js';

const host = 'a.example';
const key = 'key-1';

async function listenOn(context: TestContext, server: Server) {
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

type Answer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	readonly aborted: boolean;
};

async function call(
	port: number,
	requestPath: string,
	headers: Readonly<Record<string, string>> = {},
	method = 'GET',
): Promise<Answer> {
	return new Promise((resolve, reject) => {
		const request = httpRequest(
			{
				host: '127.0.0.1',
				port,
				path: requestPath,
				method,
				headers: {Host: host, 'Api-Key': key, ...headers},
				agent: new Agent({keepAlive: false}),
			},
			(response) => {
				let body = '';
				const done = (aborted: boolean) => {
					resolve({
						status: response.statusCode ?? 0,
						headers: response.headers,
						body,
						aborted,
					});
				};

				response.on('data', (chunk: Uint8Array) => {
					body += new TextDecoder().decode(chunk);
				});
				response.on('end', () => {
					done(false);
				});
				response.on('error', () => {
					done(true);
				});
			},
		);
		request.on('error', reject);
		request.end();
	});
}

async function statusOf(
	...parameters: Parameters<typeof call>
): Promise<number> {
	const {status} = await call(...parameters);
	return status;
}

const configuration = (version: number, apiKeys: readonly string[] = [key]) =>
	configurationRow({
		version,
		host,
		routes: [
			{name: 'stock', prefix: '/stock/', kind: 'idempotent', service: 'desk'},
			{name: 'book', prefix: '/book/', kind: 'non_idempotent', service: 'desk'},
			{name: 'report', prefix: '/report/', kind: 'stream', service: 'model'},
		],
		account: 'finishers',
		apiKeys,
	});

async function until(isTrue: () => Promise<boolean> | boolean) {
	for (let tries = 0; tries < 200; tries++) {
		if (await isTrue()) {
			return;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}

	assert.fail('the condition did not come about');
}

/** Starts a daemon on ports for callers, for the readiness check and for peers. */
async function startDaemon(
	context: TestContext,
	storePort: number,
	[front, ready, peer]: readonly number[],
) {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'front-')), 'boot');
	const boot = bootFile({front, ready, peer, store: storePort});
	writeFileSync(file, JSON.stringify(boot));
	const daemon = await createFront({
		bootFile: file,
		vm: readBootFile(file),
		metricsPort: 0,
		storeTimeoutMs: 500,
		storeWaitMs: 500,
		digestIntervalMs: 200,
		maxLogBacklogBytes: 65_536,
		logLevel: 'error',
		checkOnly: false,
	});
	context.after(async () => daemon.stop());
	return {
		daemon,
		front,
		async isReady() {
			const {status} = await call(ready, '/-/readyz');
			return status === 200;
		},
	};
}

async function start(context: TestContext, script: TargetScript) {
	const store = createStoreStandin();
	const target = createTargetStandin(script);
	const storePort = await listenOn(context, store.server);
	const targetPort = await listenOn(context, target.server);
	const daemon = await startDaemon(context, storePort, await findFreePorts(3));
	const entry = (service: string, state?: 'draining' | 'ready') =>
		targetRow(service, `127.0.0.1:${targetPort}`, state);
	return {store, target, ...daemon, entry};
}

const answerOk: TargetScript = (request, socket) => {
	const body = `to ${request.id}`;
	socket.write(answerHead(request, `Content-Length: ${body.length}`) + body);
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
					answerHead(
						request,
						'Content-Type: text/event-stream',
						`Content-Length: ${events.length}`,
					) + events,
				);
			} else if (request.head.startsWith('POST /report/')) {
				socket.write(
					`${answerHead(request, 'Transfer-Encoding: chunked')}f\r\nid: 1\ndata: a\n\n\r\n`,
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
	store.refuseWith(503);
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
