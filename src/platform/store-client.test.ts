import assert from 'node:assert/strict';
import {type AddressInfo, createServer} from 'node:net';
import {test, type TestContext} from 'node:test';
import {createEmitter, ProblemError} from '../common/index.js';
import {StoreClient} from './store-client.js';
import {createStoreStandin} from './testing/index.js';

async function startStore(context: TestContext) {
	const store = createStoreStandin();
	await new Promise<void>((resolve) => {
		store.server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = store.server.address() as AddressInfo;
	const malformedEras: string[] = [];
	const client = new StoreClient({
		address: `127.0.0.1:${port}`,
		timeoutMs: 500,
		onMalformedEra(value) {
			malformedEras.push(value);
		},
	});
	context.after(async () => {
		await client.close();
		store.server.close();
	});
	return {store, client, malformedEras};
}

const isProblem = (type: string) => (error: unknown) =>
	error instanceof ProblemError && error.type === type;

test('no change between a snapshot and the first call for changes is missed', async (context) => {
	const {store, client} = await startStore(context);
	store.put('servers', 'a', {n: 1});
	const snapshot = await client.snapshot('servers');
	assert.deepEqual(
		snapshot.rows.map(({key}) => key),
		['a'],
	);
	store.put('servers', 'a', undefined);
	store.put('servers', 'b', {n: 2});
	const {changes} = await client.changes(
		'servers',
		snapshot.revision.version,
		1000,
	);
	assert.deepEqual(
		changes.map(({key, value}) => [key, value === undefined]),
		[
			['a', true],
			['b', false],
		],
	);
});

test('a write that may have taken effect is not reported as refused, nor dropped history as an unavailable store', async (context) => {
	const {store, client} = await startStore(context);
	const {revision} = await client.snapshot('op');
	store.dropHistory();
	await assert.rejects(
		client.changes('op', revision.version, 10),
		isProblem('table-history-lost'),
	);
	store.respondWith(503);
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
	const row = new Uint8Array();
	await assert.rejects(
		client.put('vms', 'a', row),
		isProblem('table-unavailable'),
	);
	store.respondWith(500);
	await assert.rejects(
		client.put('vms', 'a', row),
		isProblem('table-outcome-unknown'),
	);
});

test('a call to a store that does not respond fails after the timeout', async (context) => {
	const {store, client} = await startStore(context);
	store.server.removeAllListeners('request');
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
});

test('an endless response of the store is aborted, so that it does not use up the memory', async (context) => {
	const {store, client} = await startStore(context);
	store.server.removeAllListeners('request');
	const closed = createEmitter<void>();
	const isClosed = new Promise<void>((resolve) => {
		closed.event(resolve);
	});
	store.server.on('request', (_request, response) => {
		response.once('close', () => {
			closed.fire();
		});
		const block = 'x'.repeat(65_536);
		const writeMore = () => {
			while (!response.destroyed && response.write(block));
			response.once('drain', writeMore);
		};

		writeMore();
	});
	await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
	await isClosed;
});

test('a late duplicate of a response of the store is not taken for the next response', async (context) => {
	const responseWith = (version: number) => {
		const body = JSON.stringify({rows: [], ver: version});
		return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
	};

	let requestCount = 0;
	const server = createServer((socket) => {
		socket.on('error', () => {
			// The client closes its connections at any time.
		});
		socket.on('data', () => {
			requestCount++;
			const response = responseWith(requestCount === 1 ? 90 : 7);
			socket.write(response);
			setTimeout(() => {
				socket.write(response);
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
	const {revision} = await client.changes('op', 3, 0);
	assert.equal(revision.version, 90);
	const next = await client.changes('servers', 5, 0);
	assert.equal(next.revision.version, 7);
});

test('what was read after the return to an older copy is told apart by its era', async (context) => {
	const {store, client} = await startStore(context);
	store.put('op', 'config', {n: 1});
	const copy = store.copy();
	store.put('op', 'config', {n: 2});
	const {revision: before} = await client.snapshot('op');
	store.restore(copy);
	await assert.rejects(
		client.changes('op', before.version, 10),
		isProblem('table-history-lost'),
	);
	store.put('op', 'config', {n: 3});
	const {rows, revision} = await client.snapshot('op');
	assert.deepEqual(revision, {era: 1, version: before.version});
	assert.deepEqual(rows[0].revision, revision);
	const {changes} = await client.changes('op', copy.version, 10);
	assert.deepEqual(
		changes.map((change) => change.revision),
		[revision],
	);
});

test('a malformed era counts as absent and is reported once', async (context) => {
	const {store, client, malformedEras} = await startStore(context);
	for (const text of ['two', '', '-1', '1.5', '99999999999999999999']) {
		store.sendEra(text);
		const {revision} = await client.snapshot('op');
		assert.equal(revision.era, 0, text);
	}

	assert.deepEqual(malformedEras, ['two']);
	store.sendEra('7');
	const {revision} = await client.snapshot('op');
	assert.equal(revision.era, 7);
});

test('pages of a table from before and after the return to an older copy are not joined', async (context) => {
	const {store, client} = await startStore(context);
	store.server.removeAllListeners('request');
	let pageCount = 0;
	store.server.on('request', (_request, response) => {
		pageCount++;
		response.setHeader('Store-Era', String(pageCount - 1));
		response.end(
			JSON.stringify({
				rows: [{key: `k${pageCount}`, value: 'e30=', ver: 4}],
				ver: 5,
				more_pages: pageCount === 1,
			}),
		);
	});
	await assert.rejects(client.snapshot('op'), isProblem('table-history-lost'));
});

test('a status of the store that HTTP does not define is a failed call, not an answer', async (context) => {
	const statusTexts = ['000', '099', '600', '999'];
	let statusText = '';
	const server = createServer((socket) => {
		socket.on('error', () => {
			// The client closes the connection.
		});
		socket.on('data', () => {
			const body = '{"rows":[],"ver":1}';
			socket.write(
				`HTTP/1.1 ${statusText} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
			);
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
	for (statusText of statusTexts) {
		await assert.rejects(client.snapshot('op'), isProblem('table-unavailable'));
		await assert.rejects(
			client.changes('op', 1, 0),
			isProblem('table-unavailable'),
		);
		await assert.rejects(
			client.put('op', 'a', new Uint8Array(1)),
			isProblem('table-outcome-unknown'),
		);
	}
});
