import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {openDatagramSocket} from './datagram-socket.js';

test('an address that cannot be sent to is reported, and does not end the sender', async (context) => {
	const [port] = await findFreePorts(1);
	const socket = openDatagramSocket('127.0.0.1', port);
	context.after(() => {
		socket.dispose();
	});
	const errors: string[] = [];
	socket.onError((error) => {
		errors.push(error.message);
	});
	socket.send('127.0.0.1:99999', 'text');
	assert.deepEqual(errors, [
		'"127.0.0.1:99999" is not an IPv4 address and port',
	]);
	const received = new Promise<string>((resolve) => {
		socket.onDatagram(({text}) => {
			resolve(text);
		});
	});
	socket.send(`127.0.0.1:${port}`, 'whole');
	assert.equal(await received, 'whole');
});
