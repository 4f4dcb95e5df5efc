import assert from 'node:assert/strict';
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
	assert.equal(splitter.hasRest, true);
});

test('guards against events that are lost when they arrive byte by byte', () => {
	const splitter = createEventSplitter();
	const ids: Array<number | undefined> = [];
	for (const byte of encode('id: 1\r\ndata: a\r\n\r\nid: 12\ndata: b\n\n')) {
		ids.push(...splitter.push(Uint8Array.of(byte)).map(({id}) => id));
	}

	assert.deepEqual(ids, [1, 12]);
	assert.equal(splitter.hasRest, false);
});
