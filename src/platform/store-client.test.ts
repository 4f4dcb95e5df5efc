import assert from 'node:assert/strict';
import {type AddressInfo, createServer} from 'node:net';
import {test, type TestContext} from 'node:test';
import {createEmitter, ProblemError} from '../common/index.js';
import {StoreClient} from './store-client.js';
import {createStoreStandin} from './testing/index.js';

async function start(context: TestContext) {
	const standin = createStoreStandin();
	await new Promise<void>((resolve) => {
		standin.server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = standin.server.address() as AddressInfo;
	const client = new StoreClient({
		address: `127.0.0.1:${port}`,
		timeoutMs: 500,
	});
	context.after(async () => {
		await client.close();
		standin.server.close();
	});
	return {standin, client};
}

const isProblem = (type: string) => (error: unknown) =>
	error instanceof ProblemError && error.type === type;

test('guards against a change between a snapshot and the feed that is missed', async (context) => {
	const {standin, client} = await start(context);
	standin.put('servers', 'a', {n: 1});
	const snapshot = await client.snapshot('servers');
	assert.deepEqual(
		snapshot.rows.map(({key}) => key),
		['a'],
	);
	standin.put('servers', 'a', undefined);
	standin.put('servers', 'b', {n: 2});
	const {changes} = await client.changes('servers', snapshot.version, 1000);
	assert.deepEqual(
		changes.map(({key, value}) => [key, value === undefined]),
		[
			['a', true],
			['b', false],
		],
	);
});

test('guards against lost history, refusals and silence that look alike', async (context) => {
	const {standin, client} = await start(context);
	const {version} = await client.snapshot('op');
	standin.dropHistory();
	await assert.rejects(
		client.changes('op', version, 10),
		isProblem('table-history-lost'),
	);
	standin.respondWith(503);
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
	const row = new Uint8Array();
	await assert.rejects(
		client.put('vms', 'a', row),
		isProblem('table-unavailable'),
	);
	standin.respondWith(500);
	await assert.rejects(
		client.put('vms', 'a', row),
		isProblem('table-outcome-unknown'),
	);
});

test('guards against a store that does not answer holding its callers', async (context) => {
	const {standin, client} = await start(context);
	standin.server.removeAllListeners('request');
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
});

test('guards against a store whose answer has no end filling the memory', async (context) => {
	const {standin, client} = await start(context);
	standin.server.removeAllListeners('request');
	const closed = createEmitter<void>();
	const isClosed = new Promise<void>((resolve) => {
		closed.event(resolve);
	});
	standin.server.on('request', (_request, response) => {
		response.once('close', () => {
			closed.fire();
		});
		const block = 'x'.repeat(65_536);
		const more = () => {
			while (!response.destroyed && response.write(block));
			response.once('drain', more);
		};

		more();
	});
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
	await isClosed;
});

test('guards against a late second answer of the store being taken for the next one', async (context) => {
	const answerOf = (version: number) => {
		const body = JSON.stringify({rows: [], ver: version});
		return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	};

	let requests = 0;
	const server = createServer((socket) => {
		socket.on('error', () => {
			// The client closes connections as it likes.
		});
		socket.on('data', () => {
			requests++;
			const answer = answerOf(requests === 1 ? 90 : 7);
			socket.write(answer);
			setTimeout(() => {
				socket.write(answer);
			}, 20);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const client = new StoreClient({
		address: `127.0.0.1:${port}`,
		timeoutMs: 500,
	});
	context.after(async () => {
		await client.close();
		server.close();
	});
	const {version} = await client.changes('op', 3, 0);
	assert.equal(version, 90);
	const next = await client.changes('servers', 5, 0);
	assert.equal(next.version, 7);
});
