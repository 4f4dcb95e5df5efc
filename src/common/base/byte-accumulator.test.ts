import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createByteAccumulator} from './byte-accumulator.js';

test('keeps no reference to the buffers of its pieces', () => {
	const accumulator = createByteAccumulator();
	const piece = Uint8Array.of(1, 2);
	accumulator.append(piece);
	piece.fill(9);
	accumulator.append(Uint8Array.of(3));
	assert.deepEqual([...accumulator.take()], [1, 2, 3]);
	assert.deepEqual(
		[accumulator.lengthBytes, accumulator.capacityBytes],
		[0, 0],
	);
});

test('takes memory in proportion to the bytes, however small the pieces are', () => {
	const accumulator = createByteAccumulator();
	const byteCount = 100_000;
	for (let index = 0; index < byteCount; index++) {
		accumulator.append(Uint8Array.of(index % 251));
	}

	assert.ok(accumulator.capacityBytes < 2.1 * byteCount);
	const bytes = accumulator.take();
	assert.equal(bytes.length, byteCount);
	assert.ok(bytes.every((byte, index) => byte === index % 251));
});
