import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {fetchPeerTables} from './peer-tables-client.js';
import {createPeerTablesServer} from './peer-tables-server.js';
import {testBounds} from './testing/index.js';

const timeoutMs = 2000;
const maxBytes = 131_072;
/** More than the buffers of a loopback connection hold beyond the bytes read. */
const maxSentBytes = 16_777_216;

test('closes the connection of a peer whose response never ends, at the size limit', async (context) => {
	let sentBytes = 0;
	const seen = {isClosed: false};
	const block = 'x'.repeat(65_536);
	const server = createServer((_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		const writeUntilFull = () => {
			while (!seen.isClosed && sentBytes < 4 * maxSentBytes) {
				sentBytes += block.length;
				if (!response.write(block)) {
					response.once('drain', writeUntilFull);
					return;
				}
			}
		};

		response.on('close', () => {
			seen.isClosed = true;
		});
		writeUntilFull();
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
	assert.ok(sentBytes < maxSentBytes, `the client accepted ${sentBytes} bytes`);
});

test('fetches the tables from a peer server unchanged', async (context) => {
	const tables = {
		configuration: '{"version":3}',
		configurationRevision: storeRevision(9),
		targets: [],
		targetsRevision: storeRevision(7, 1),
		evacuations: {
			revision: storeRevision(6),
			zones: ['zone-1'],
			held: [],
			removed: [],
		},
		departures: [],
	};
	const server = createPeerTablesServer(() => tables, testBounds());
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
