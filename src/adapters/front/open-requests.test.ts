import assert from 'node:assert/strict';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {test} from 'node:test';
import {createOpenRequests} from './open-requests.js';

const createResponse = () =>
	new ServerResponse(new IncomingMessage(new Socket()));

// Guards against one address that takes the memory of all, and against a limit that stays after its requests.
test('an address with too many open requests gets no more until one is complete, and others do', () => {
	const requests = createOpenRequests({max: 4, maxPerAddress: 2});
	const first = createResponse();
	const refused = createResponse();
	assert.equal(requests.add('a', first), true);
	assert.equal(requests.add('a', createResponse()), true);
	assert.equal(requests.add('a', refused), false);
	assert.equal(requests.add('b', createResponse()), true);
	assert.equal(requests.add('c', createResponse()), false);
	refused.emit('close');
	first.emit('close');
	assert.equal(requests.add('a', createResponse()), true);
});
