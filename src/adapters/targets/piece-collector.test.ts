import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPieceCollector} from './piece-collector.js';

const setUp = () => {
	const delivered: string[] = [];
	const collector = createPieceCollector((bytes) => {
		delivered.push(new TextDecoder().decode(bytes));
	});
	const push = (text: string) => {
		collector.push(new TextEncoder().encode(text));
	};

	return {delivered, collector, push};
};

test('delivers the pieces of one task together and in order', async () => {
	const {delivered, push} = setUp();
	for (const text of ['a', 'b', 'c']) {
		push(text);
	}

	assert.deepEqual(delivered, []);
	await Promise.resolve();
	push('d');
	await Promise.resolve();
	assert.deepEqual(delivered, ['abc', 'd']);
});

test('delivers before the end of the task on request, and each piece once', async () => {
	const {delivered, collector, push} = setUp();
	push('a');
	collector.flush();
	push('b');
	push('c');
	collector.flush();
	collector.flush();
	await Promise.resolve();
	assert.deepEqual(delivered, ['a', 'bc']);
});
