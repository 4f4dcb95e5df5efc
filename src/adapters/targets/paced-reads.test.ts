import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, connect, createServer, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {createReadBudget, paceReads} from './paced-reads.js';

const sentBytes = 200_000;
/** What one reader and all readers get in one turn. */
const maxBytesPerTurn = 1024 + 4096;

/** Connects to a server that sends bytes and closes the connection. */
async function connectToSender(context: TestContext): Promise<Socket> {
	const server = createServer((socket) => {
		socket.end(new Uint8Array(sentBytes));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => server.close());
	const {port} = server.address() as AddressInfo;
	const socket = connect(port, '127.0.0.1');
	context.after(() => socket.destroy());
	await once(socket, 'connect');
	return socket;
}

/** Reads as undici does: all that `read()` returns, at each `readable` event. */
function readAll(socket: Socket) {
	const turns = [0];
	socket.on('readable', () => {
		for (;;) {
			const chunk = socket.read() as Uint8Array | null;
			if (chunk === null) {
				break;
			}

			turns[turns.length - 1] += chunk.length;
		}
	});
	const nextTurn = () => {
		turns.push(0);
		if (!socket.destroyed) {
			setImmediate(nextTurn);
		}
	};

	setImmediate(nextTurn);
	return turns;
}

const sum = (numbers: readonly number[]) =>
	numbers.reduce((total, number) => total + number, 0);

test('a reader gets all bytes and the end, but not more than its share in one turn', async (context) => {
	const socket = await connectToSender(context);
	paceReads(socket, createReadBudget());
	const turns = readAll(socket);
	await once(socket, 'end');
	assert.equal(sum(turns), sentBytes);
	// The turns of the test and of the socket may overlap by one.
	assert.ok(Math.max(...turns) <= 2 * maxBytesPerTurn);
});

test('a paused reader gets nothing until it resumes', async (context) => {
	const socket = await connectToSender(context);
	const reads = paceReads(socket, createReadBudget());
	reads.pause();
	const turns = readAll(socket);
	for (let count = 0; count < 20; count++) {
		await new Promise((resolve) => {
			setTimeout(resolve, 5);
		});
	}

	assert.equal(sum(turns), 0);
	reads.resume();
	await once(socket, 'end');
	assert.equal(sum(turns), sentBytes);
});
