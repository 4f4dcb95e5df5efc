import assert from 'node:assert/strict';
import {Writable} from 'node:stream';
import {test} from 'node:test';
import {createBoundedOutput} from './bounded-output.js';

// Waiting for a stalled reader would stall the daemon; buffering all lines for it would use up the memory.
test('lines are dropped and counted while the reader of the log is stalled', () => {
	const receivedLines: string[] = [];
	let acknowledgeWrite: () => void = () => undefined;
	const reader = new Writable({
		decodeStrings: false,
		highWaterMark: 10,
		write(chunk: string, _encoding, callback) {
			receivedLines.push(chunk);
			acknowledgeWrite = callback;
		},
	});
	const output = createBoundedOutput(reader, 100);
	const line = `${'x'.repeat(49)}\n`;
	for (let index = 0; index < 10; index++) {
		output.stream.write(line);
	}

	assert.equal(output.droppedCount, 7);
	for (let index = 0; index < 3; index++) {
		acknowledgeWrite();
	}

	output.stream.write(line);
	assert.deepEqual(JSON.parse(receivedLines.at(-1) ?? ''), {
		level: 'warn',
		message: 'log lines dropped',
		count: 7,
	});
});

// An unhandled error event of the output, such as EPIPE, would end the process.
test('the process survives when the reader of the log closes the pipe', async () => {
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

// Each logger of a process added one; the eleventh caused MaxListenersExceededWarning on standard output.
test('many loggers add one error listener to the output that they share', async () => {
	const reader = new Writable({
		write(_chunk, _encoding, callback) {
			callback(new Error('EPIPE'));
		},
	});
	const outputs = Array.from({length: 12}, () =>
		createBoundedOutput(reader, 100),
	);
	assert.equal(reader.listenerCount('error'), 1);
	outputs[0].stream.write('a\n');
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	for (const {stream} of outputs) {
		stream.write('b\n');
	}

	assert.deepEqual(
		outputs.map(({droppedCount}) => droppedCount),
		outputs.map(() => 1),
	);
});
