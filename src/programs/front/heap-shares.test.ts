import assert from 'node:assert/strict';
import {test} from 'node:test';
import {heapSharesOf} from './heap-shares.js';

const megabyte = 1_048_576;

test('the shares of a heap grow with it, and a small heap keeps some of each', () => {
	const small = heapSharesOf(16 * megabyte);
	const deployed = heapSharesOf(96 * megabyte);
	assert.ok(small.requestCount > 0);
	assert.ok(small.connectionCount > 0);
	assert.ok(small.requestCount < deployed.requestCount);
	assert.ok(small.connectionCount < deployed.connectionCount);
});

// Guards against callers inside the limits that are refused: a VM serves a few dozen requests at a time.
test('the heap of a deployed process holds hundreds of open requests and thousands of connections', () => {
	const {requestCount, connectionCount} = heapSharesOf(96 * megabyte);
	assert.ok(requestCount >= 1000);
	assert.ok(connectionCount >= 2000);
});
