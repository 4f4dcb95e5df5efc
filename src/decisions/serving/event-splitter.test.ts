import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {createEventSplitter} from './event-splitter.js';

const encode = (text: string) => new TextEncoder().encode(text);

test('guards against half an event being passed on when an engine cuts its stream', () => {
	const splitter = createEventSplitter();
	const [first, ...others] = splitter.push(
		encode('id: 1\ndata: a\n\nid: 2\nda'),
	);
	assert.equal(first.id, 1);
	assert.equal(new TextDecoder().decode(first.bytes), 'id: 1\ndata: a\n\n');
	assert.equal(others.length, 0);
	assert.equal(splitter.pendingBytes, 'id: 2\nda'.length);
});

test('guards against events that are lost when they arrive byte by byte', () => {
	const splitter = createEventSplitter();
	const ids: Array<number | undefined> = [];
	for (const byte of encode('id: 1\r\ndata: a\r\n\r\nid: 12\ndata: b\n\n')) {
		ids.push(...splitter.push(Uint8Array.of(byte)).map(({id}) => id));
	}

	assert.deepEqual(ids, [1, 12]);
	assert.equal(splitter.pendingBytes, 0);
});

test('guards against a long event whose bytes are copied and searched again for each chunk', () => {
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
	assert.ok(event.bytes.length >= eventBytes);
	// Processor time, in microseconds: quadratic work takes several seconds.
	assert.ok(user + system < 500_000, `took ${user + system} µs`);
});
