import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import process from 'node:process';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {createPacedConnection} from './paced-connection.js';

const packetBytes = 65_536;
const head = 'GET / HTTP/1.1\r\n\r\n';
const connectionCount = 200;

/** A socket that has received a packet of requests. */
function socketWithPacket(): Socket {
	const socket = new PassThrough({highWaterMark: packetBytes});
	Object.assign(socket, {setTimeout: () => socket});
	const packet = Buffer.allocUnsafeSlow(packetBytes).fill(head);
	socket.write(packet);
	return socket as unknown as Socket;
}

/** Receives a packet and delivers its requests but for the last few. */
async function holdLastRequests() {
	let deliveredBytes = 0;
	let heldBytes = 0;
	const paced = createPacedConnection(socketWithPacket(), {
		mayDeliver: () => deliveredBytes < packetBytes - 10 * head.length,
		mayReceive: () => true,
		isReceivingBody: () => false,
		onProgress(held, delivered) {
			heldBytes = held;
			deliveredBytes += delivered;
		},
	});
	paced.stream.resume();
	const isHeld = () => deliveredBytes >= packetBytes - 10 * head.length;
	while (!isHeld()) {
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		paced.update();
	}

	return {paced, heldBytes: () => heldBytes};
}

// Guards against a VM that runs out of memory under its limits: a few bytes that wait keep a whole packet.
test('requests that wait on a connection hold little more memory than is counted for them', async () => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	const before = process.memoryUsage().arrayBuffers;
	const connections = [];
	for (let count = 0; count < connectionCount; count++) {
		connections.push(await holdLastRequests());
	}

	collectGarbage();
	const used = process.memoryUsage().arrayBuffers - before;
	let counted = 0;
	for (const {paced, heldBytes} of connections) {
		counted += heldBytes();
		paced.close();
	}

	assert.ok(counted > 0);
	assert.ok(counted < connectionCount * 1024, `${counted} bytes are counted`);
	assert.ok(used < 1_048_576 + counted, `${used} bytes are in use`);
});
