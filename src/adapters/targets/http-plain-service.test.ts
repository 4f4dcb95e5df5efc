import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {HttpPlainService} from './http-plain-service.js';

const responseOf = (status: number, body: string) =>
	`HTTP/1.1 ${status} X\r\nContent-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

test('a response that a service repeats is not taken for the answer to the next call', async (context) => {
	const sockets = new Set<Socket>();
	let callCount = 0;
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => {
			// The client may close the connection first.
		});
		socket.on('data', () => {
			callCount++;
			if (callCount === 1) {
				socket.write(responseOf(503, 'refused'));
				// The repetition arrives when the answer to the next call is expected.
				setTimeout(() => {
					socket.write(responseOf(503, 'refused'));
				}, 100);
			} else {
				setTimeout(() => {
					socket.write(responseOf(200, 'booked'));
				}, 200);
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const service = new HttpPlainService({
		id: 'desk-1',
		kind: 'service',
		url: `http://127.0.0.1:${port}`,
		availabilityZone: 'zone-1',
		models: [],
		service: 'desk',
		fencing: 'ignores',
		answersOutcomes: false,
	});
	const book = async () =>
		service.call({
			method: 'POST',
			path: '/bookings',
			body: '{}',
			contentType: 'application/json',
			idempotencyKey: 'k',
			timeoutMs: 2000,
		});
	const first = await book();
	await new Promise((resolve) => {
		setTimeout(resolve, 30);
	});
	const second = await book();
	assert.deepEqual([first.status, second.status], [503, 200]);
});
