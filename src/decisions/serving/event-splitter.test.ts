import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {createEventSplitter} from './event-splitter.js';

const encode = (text: string) => new TextEncoder().encode(text);

test('does not return an incomplete event at the end of the input', () => {
	const splitter = createEventSplitter();
	const [first, ...others] = splitter.push(
		encode('id: 1\ndata: a\n\nid: 2\nda'),
	);
	assert.equal(new TextDecoder().decode(first), 'id: 1\ndata: a\n\n');
	assert.equal(others.length, 0);
	assert.equal(splitter.pendingBytes, 'id: 2\nda'.length);
});

test('finds events that arrive byte by byte', () => {
	const splitter = createEventSplitter();
	const events: string[] = [];
	for (const byte of encode('id: 1\r\ndata: a\r\n\r\nid: 12\ndata: b\n\n')) {
		for (const event of splitter.push(Uint8Array.of(byte))) {
			events.push(new TextDecoder().decode(event));
		}
	}

	assert.deepEqual(events, ['id: 1\r\ndata: a\r\n\r\n', 'id: 12\ndata: b\n\n']);
	assert.equal(splitter.pendingBytes, 0);
});

test('takes linear time for a long event in many chunks', () => {
	const splitter = createEventSplitter();
	const chunkBytes = 100;
	const eventBytes = 1_048_576;
	const before = process.cpuUsage();
	const chunk = new Uint8Array(chunkBytes).fill(0x78);
	for (let taken = 0; taken < eventBytes; taken += chunkBytes) {
		assert.equal(splitter.push(chunk).length, 0);
	}

	const [event] = splitter.push(encode('\n\n'));
	const {user, system} = process.cpuUsage(before);
	assert.ok(event.length >= eventBytes);
	// Processor time, in microseconds: quadratic work takes several seconds.
	assert.ok(user + system < 500_000, `took ${user + system} µs`);
});

test('comments and blank lines are no events: they come with the next one, and fill the memory of one event', () => {
	const splitter = createEventSplitter();
	const filler = ':\n\n\n: wait\r\n\r\n';
	assert.equal(splitter.push(encode(filler.repeat(1000))).length, 0);
	assert.equal(splitter.pendingBytes, 1000 * filler.length);
	assert.ok(splitter.memoryBytes < 4 * splitter.pendingBytes);
	const [event] = splitter.push(encode('id: 3\ndata: a\n\n'));
	assert.ok(new TextDecoder().decode(event).endsWith('id: 3\ndata: a\n\n'));
	assert.equal(splitter.pendingBytes, 0);
});
