import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createEngineEventParser} from './engine-event-parser.js';

const maxEventLength = 500;

const parse = (chunks: readonly Buffer[]): string[] => {
	const events: string[] = [];
	const parser = createEngineEventParser('g', maxEventLength, {
		onToken(position, text) {
			events.push(`${position}=${text}`);
		},
		onFinish(reason, tokenCount) {
			events.push(`${reason} ${tokenCount}`);
		},
	});
	for (const chunk of chunks) {
		parser.feed(chunk);
	}

	return events;
};

const token = (position: number, text: string) =>
	`id: ${position}\ndata: ${JSON.stringify({id: 'g', choices: [{text}]})}\n\n`;
const end =
	'data: {"id":"g","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2}}\n\ndata: [DONE]\n\n';
const expected = ['0=käsi ', '1=手', 'stop 2'];
const plain = token(0, 'käsi ') + token(1, '手') + end;

// A chunk boundary may split an event, a multi-byte character or a CRLF.
test('no token is lost or garbled at a chunk boundary or by other line ends', () => {
	for (const text of [
		plain,
		plain.replaceAll('\n', '\r\n'),
		`: comment\n\n${plain}`,
		plain.replaceAll('id: ', 'event: token\nid: '),
	]) {
		const bytes = Buffer.from(text);
		for (const size of [1, 2, 3, 7, 50, bytes.length]) {
			const chunks = [];
			for (let start = 0; start < bytes.length; start += size) {
				chunks.push(bytes.subarray(start, start + size));
			}

			assert.deepEqual(parse(chunks), expected, `chunks of ${size} bytes`);
		}
	}
});

// Unchecked, such events crash the daemon, fill its memory or put tokens of another generation into the response.
test('malformed events, events of another generation and endless events are rejected', () => {
	for (const text of [
		'id: 0\ndata: {"choices"\n\n',
		'id: x\ndata: {"choices":[{"text":"a"}]}\n\n',
		'id: 0\ndata: null\n\n',
		'id: 0\ndata: {"id":"other","choices":[{"text":"a"}]}\n\n',
		'data: {"choices":[{"finish_reason":"stop"}]}\n\n',
		`data: ${'a'.repeat(maxEventLength)}`,
		`data: ${'a'.repeat(maxEventLength)}\r`,
	]) {
		assert.throws(
			() => parse([Buffer.from(text)]),
			{type: 'target-protocol'},
			text.slice(0, 60),
		);
	}
});

// After the first token, events are read by a template. An event that differs from it in more than position and
// plain text must be parsed in full, or its text would be wrong or its error unnoticed.
test('events that only resemble the template are not read by it', () => {
	const texts = ['first', 'a"b', '\\', '\n', '"}]}', 'ä', '\u007F', '', 'last'];
	const events = texts.map((text, position) => token(position, text));
	const expectedEvents = texts.map((text, position) => `${position}=${text}`);
	assert.deepEqual(parse([Buffer.from(events.join(''))]), expectedEvents);
	assert.deepEqual(
		parse(events.map((event) => Buffer.from(event))),
		expectedEvents,
	);
	const first = Buffer.from(token(0, 'first'));
	for (const other of [
		token(1, 'x').replace('"g"', '"h"'),
		token(1, 'x').replace('id: 1', 'id: 1234567890'),
		token(1, 'x').replace('id: 1', 'id: '),
		token(1, 'x').replace('"x"', '"x\t"'),
	]) {
		assert.throws(() => parse([first, Buffer.from(other)]), {
			type: 'target-protocol',
		});
	}
});
