import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createEngineEventParser} from './engine-event-parser.js';

const maxEventBytes = 500;

const parse = (chunks: readonly Buffer[]): string[] => {
	const seen: string[] = [];
	const parser = createEngineEventParser('g', maxEventBytes, {
		onToken(position, text) {
			seen.push(`${position}=${text}`);
		},
		onFinish(reason, tokenCount) {
			seen.push(`${reason} ${tokenCount}`);
		},
	});
	for (const chunk of chunks) {
		parser.feed(chunk);
	}

	return seen;
};

const token = (position: number, text: string) =>
	`id: ${position}\ndata: ${JSON.stringify({id: 'g', choices: [{text}]})}\n\n`;
const end =
	'data: {"id":"g","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":2}}\n\ndata: [DONE]\n\n';
const expected = ['0=käsi ', '1=手', 'stop 2'];
const plain = token(0, 'käsi ') + token(1, '手') + end;

// Guards against events, characters or line ends that a chunk boundary cuts in two.
test('reads the same events whatever the chunks and line ends are', () => {
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

// Guards against a broken engine that brings the daemon down or feeds it another answer's tokens.
test('refuses malformed, foreign and endless events', () => {
	for (const text of [
		'id: 0\ndata: {"choices"\n\n',
		'id: x\ndata: {"choices":[{"text":"a"}]}\n\n',
		'id: 0\ndata: null\n\n',
		'id: 0\ndata: {"id":"other","choices":[{"text":"a"}]}\n\n',
		'data: {"choices":[{"finish_reason":"stop"}]}\n\n',
		`data: ${'a'.repeat(maxEventBytes)}`,
		`data: ${'a'.repeat(maxEventBytes)}\r`,
	]) {
		assert.throws(
			() => parse([Buffer.from(text)]),
			{type: 'target-protocol'},
			text.slice(0, 60),
		);
	}
});

// Guards against an event that only resembles the known form and is read from its bytes all the same.
test('reads texts of every kind after a plain one', () => {
	const texts = ['first', 'a"b', '\\', '\n', '"}]}', 'ä', '\u007F', '', 'last'];
	const events = texts.map((text, position) => token(position, text));
	const wanted = texts.map((text, position) => `${position}=${text}`);
	assert.deepEqual(parse([Buffer.from(events.join(''))]), wanted);
	assert.deepEqual(parse(events.map((event) => Buffer.from(event))), wanted);
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
