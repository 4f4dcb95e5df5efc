import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {fetchPeerTables} from './peer-state-client.js';
import {createPeerStateServer} from './peer-state-server.js';

const timeoutMs = 2000;
const maxBytes = 131_072;
/** What the buffers of a loopback connection hold besides what was read. */
const maxTakenBytes = 16_777_216;

test('guards against a peer in trouble whose answer never ends and fills the memory', async (context) => {
	let sentBytes = 0;
	const seen = {isClosed: false};
	const block = 'x'.repeat(65_536);
	const server = createServer((_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		const pour = () => {
			while (!seen.isClosed && sentBytes < 4 * maxTakenBytes) {
				sentBytes += block.length;
				if (!response.write(block)) {
					response.once('drain', pour);
					return;
				}
			}
		};

		response.on('close', () => {
			seen.isClosed = true;
		});
		pour();
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	await assert.rejects(
		fetchPeerTables(`127.0.0.1:${port}`, timeoutMs, maxBytes),
		/larger than 131072 bytes/,
	);
	await new Promise((resolve) => {
		setTimeout(resolve, 100);
	});
	assert.equal(seen.isClosed, true);
	assert.ok(sentBytes < maxTakenBytes, `${sentBytes} bytes were taken`);
});

test('guards against tables that a peer does not get over the wire as they were read', async (context) => {
	const tables = {
		configuration: '{"version":3}',
		configurationVersion: 9,
		targets: [],
		targetsVersion: 7,
	};
	const server = createPeerStateServer(() => tables);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	assert.deepEqual(
		await fetchPeerTables(`127.0.0.1:${port}`, timeoutMs),
		tables,
	);
});
