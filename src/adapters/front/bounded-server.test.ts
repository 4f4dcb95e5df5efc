import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {SystemClock} from '../system/index.js';
import {
	type ConnectionClosedReason,
	createBoundedServer,
	type ServerBounds,
} from './bounded-server.js';
import {createReceiveMemory} from './receive-memory.js';
import {testBounds} from './testing/index.js';

const head = (target: string, ...lines: readonly string[]) =>
	[`GET ${target} HTTP/1.1`, 'Host: a', ...lines, '', ''].join('\r\n');

const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

async function until(isTrue: () => boolean) {
	for (let tries = 0; tries < 500 && !isTrue(); tries++) {
		await sleep(10);
	}

	assert.ok(isTrue());
}

/** Starts a server whose responses the test sends, and records what it serves and closes. */
async function startServer(
	context: TestContext,
	bounds: Partial<ServerBounds> = {},
) {
	const served: Array<{request: IncomingMessage; response: ServerResponse}> =
		[];
	const reasons: ConnectionClosedReason[] = [];
	const server = createBoundedServer(
		testBounds({
			onClosed(reason) {
				reasons.push(reason);
			},
			...bounds,
		}),
		(request, response) => {
			served.push({request, response});
		},
	);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	const open = () => {
		const socket = connect(port, '127.0.0.1');
		const received = {text: '', isClosed: false};
		socket.on('data', (bytes) => {
			received.text += bytes.toString('latin1');
		});
		socket.on('error', () => {
			// The server closes connections.
		});
		socket.on('close', () => {
			received.isClosed = true;
		});
		context.after(() => socket.destroy());
		return {socket, received};
	};

	return {served, reasons, open};
}

test('requests sent ahead are parsed and served one after the other', async (context) => {
	const {served, reasons, open} = await startServer(context);
	const {socket, received} = open();
	socket.write(head('/0') + head('/1') + head('/2') + head('/3').repeat(1000));
	for (const [index, target] of ['/0', '/1', '/2'].entries()) {
		await until(() => served.length > index);
		await sleep(20);
		assert.equal(served.length, index + 1);
		assert.equal(served[index].request.url, target);
		served[index].response.end(target);
	}

	await until(() => /\/0[^]*\/1[^]*\/2/.test(received.text));
	assert.deepEqual(reasons, []);
});

test('a request behind the last response of a connection is never served', async (context) => {
	const {served, open} = await startServer(context);
	const {socket, received} = open();
	socket.write(head('/0') + head('/1'));
	await until(() => served.length === 1);
	served[0].response.shouldKeepAlive = false;
	served[0].response.end('last');
	await until(() => received.isClosed);
	assert.equal(served.length, 1);
	assert.match(received.text, /last$/);
});

test('a request whose head ends in two packets is served, also behind another', async (context) => {
	const {served, open} = await startServer(context);
	const {socket, received} = open();
	const first = head('/0');
	socket.write(first.slice(0, -2));
	await sleep(30);
	socket.write(first.slice(-2) + head('/1') + head('/2'));
	for (const index of [0, 1, 2]) {
		await until(() => served.length > index);
		served[index].response.end(`;${index}`);
	}

	await until(() => /;0[^]*;1[^]*;2/.test(received.text));
});

test('bodies of known length and in chunks arrive whole, with requests behind them', async (context) => {
	const {served, open} = await startServer(context);
	const {socket} = open();
	const body = 'x\n\r\n'.repeat(250_000);
	const chunk = `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`;
	socket.write(head('/0', `Content-Length: ${body.length}`) + body);
	socket.write(head('/1', 'Transfer-Encoding: chunked') + chunk + head('/2'));
	for (const [index, lengthBytes] of [body.length, body.length, 0].entries()) {
		await until(() => served.length > index);
		const pieces: Uint8Array[] = [];
		for await (const piece of served[index].request) {
			pieces.push(piece as Uint8Array);
		}

		assert.equal(Buffer.concat(pieces).length, lengthBytes);
		served[index].response.end();
	}
});

test('the end of a connection is noticed while its request is served', async (context) => {
	const {served, open} = await startServer(context);
	const {socket} = open();
	socket.write(head('/0'));
	await until(() => served.length === 1);
	const seen = {isClosed: false};
	served[0].response.once('close', () => {
		seen.isClosed = true;
	});
	socket.destroy();
	await until(() => seen.isClosed);
});

test('a connection whose caller does not read its response is closed', async (context) => {
	const {served, reasons, open} = await startServer(context, {
		maxUnreadMs: 100,
	});
	const {socket} = open();
	socket.pause();
	socket.write(head('/0'));
	await until(() => served.length === 1);
	served[0].response.end(Buffer.alloc(16_777_216));
	await until(() => reasons.length === 1);
	assert.deepEqual(reasons, ['unread']);
	await until(() => served[0].response.destroyed);
});

test('a request may take longer than the time in which a response must be read', async (context) => {
	const {served, reasons, open} = await startServer(context, {maxUnreadMs: 50});
	const {socket, received} = open();
	for (const index of [0, 1]) {
		socket.write(head(`/${index}`));
		await until(() => served.length > index);
		await sleep(200);
		served[index].response.end(`;${index}`);
		await until(() => received.text.endsWith(`;${index}`));
	}

	assert.deepEqual(reasons, []);
});

test('half-sent requests over the memory of the VM close their connections', async (context) => {
	const receiveMemory = createReceiveMemory({
		maxBytes: 20_000,
		clock: new SystemClock(),
	});
	const {reasons, open} = await startServer(context, {receiveMemory});
	const first = open();
	first.socket.write(head('/0', 'Content-Length: 100000') + 'x'.repeat(5000));
	await until(() => receiveMemory.totalBytes > 5000);
	const second = open();
	second.socket.write(`GET / HTTP/1.1\r\nX: ${'x'.repeat(40_000)}`);
	await until(() => second.received.isClosed);
	assert.deepEqual(reasons, ['receive-memory']);
	assert.equal(first.received.isClosed, false);
	first.socket.destroy();
	await until(() => receiveMemory.totalBytes === 0);
});

test('bytes that cannot be read, sent behind a request, do not cut off or replace its response', async (context) => {
	const {served, open} = await startServer(context);
	const {socket, received} = open();
	socket.write(`${head('/0')}no request\r\n\r\n`);
	await until(() => served.length === 1);
	await sleep(30);
	served[0].response.end('whole');
	await until(() => received.isClosed);
	assert.match(received.text, /^HTTP\/1.1 200 [^]*whole/);
	assert.match(received.text, /HTTP\/1.1 400 /);
});

test('requests that the server answers itself take their turn', async (context) => {
	const {served, open} = await startServer(context);
	const {socket, received} = open();
	socket.write(
		head('/0', 'Expect: something') +
			head('/1', 'Expect: 100-continue', 'Content-Length: 1') +
			'x' +
			'GET /2 HTTP/1.1\r\n\r\n',
	);
	await until(() => served.length === 1);
	served[0].response.end();
	await until(() => received.isClosed);
	const statuses = [...received.text.matchAll(/HTTP\/1.1 (\d+)/g)].map(
		([, status]) => status,
	);
	assert.deepEqual(statuses, ['417', '100', '200', '400']);
	assert.equal(served.length, 1);
});
