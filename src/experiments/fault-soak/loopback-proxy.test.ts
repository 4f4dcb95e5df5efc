import assert from 'node:assert/strict';
import {
	createConnection,
	createServer,
	type AddressInfo,
	type Socket,
} from 'node:net';
import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLoopbackProxy} from './loopback-proxy.js';

const marginMs = 60;

/** Starts an echo server behind a proxy. */
async function start(context: TestContext) {
	const server = createServer((socket) => {
		socket.on('error', () => {
			// A reset is part of the test.
		});
		socket.pipe(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const proxy = await createLoopbackProxy(
		(server.address() as AddressInfo).port,
	);
	context.after(() => {
		proxy.dispose();
		server.close();
	});
	const connect = async () => {
		const socket = createConnection(proxy.port, '127.0.0.1');
		let text = '';
		socket.on('data', (chunk) => {
			text += chunk.toString();
		});
		socket.on('error', () => {
			// A reset is part of the test.
		});
		await once(socket, 'connect');
		return {socket, text: () => text};
	};

	return {proxy, connect};
}

async function echo(socket: Socket, text: string) {
	socket.write(text);
	await sleep(marginMs);
}

test('cuts lose and reorder no bytes, and silence affects open connections only', async (context) => {
	const {proxy, connect} = await start(context);
	const first = await connect();
	await echo(first.socket, 'a');
	assert.equal(first.text(), 'a');
	for (const cut of ['cut-forward', 'cut-backward'] as const) {
		proxy.setFault(cut);
		const before = first.text();
		await echo(first.socket, 'b');
		await echo(first.socket, 'c');
		assert.equal(first.text(), before);
		proxy.setFault(undefined);
		await echo(first.socket, 'd');
		assert.equal(first.text(), `${before}bcd`);
	}

	proxy.setFault('silence');
	const before = first.text();
	await echo(first.socket, 'e');
	const second = await connect();
	await echo(second.socket, 'f');
	assert.deepEqual([first.text(), second.text()], [before, 'f']);
	proxy.setFault('reset');
	await sleep(marginMs);
	assert.equal(second.socket.destroyed, true);
});
