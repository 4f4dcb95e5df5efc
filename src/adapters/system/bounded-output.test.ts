import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import {createBoundedOutput} from './bounded-output.js';

test('guards against logging that waits for a reader that has stopped', () => {
	const taken: string[] = [];
	let release: () => void = () => undefined;
	const reader = new Writable({
		decodeStrings: false,
		highWaterMark: 10,
		write(chunk: string, _encoding, callback) {
			taken.push(chunk);
			release = callback;
		},
	});
	const output = createBoundedOutput(reader, 100);
	const line = `${'x'.repeat(49)}\n`;
	for (let index = 0; index < 10; index++) {
		output.stream.write(line);
	}

	assert.equal(output.droppedCount, 7);
	for (let index = 0; index < 3; index++) {
		release();
	}

	output.stream.write(line);
	assert.deepEqual(JSON.parse(taken.at(-1) ?? ''), {
		level: 'warn',
		message: 'log lines dropped',
		count: 7,
	});
});

test('guards against a reader that is gone ending the process', async () => {
	const reader = new Writable({
		write(_chunk, _encoding, callback) {
			callback(new Error('EPIPE'));
		},
	});
	const output = createBoundedOutput(reader, 100);
	output.stream.write('a\n');
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	output.stream.write('b\n');
	assert.equal(output.droppedCount, 1);
});
