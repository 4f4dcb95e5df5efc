import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkBookingKey} from './booking-key.js';

const wallMs = 0x01_90_00_00_00_00;
const keyAt = (atMs: number) => {
	const time = atMs.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`;
};

// Otherwise a call could run a second time after its record was removed.
test('refuses keys older than the retention and far ahead of the clock', () => {
	assert.equal(
		checkBookingKey(keyAt(wallMs - 1000), wallMs, 1000),
		keyAt(wallMs - 1000),
	);
	assert.throws(() => checkBookingKey(keyAt(wallMs - 1001), wallMs, 1000), {
		type: 'idempotency-key-expired',
	});
	assert.throws(() => checkBookingKey(keyAt(wallMs + 300_001), wallMs, 1000), {
		type: 'idempotency-key-invalid',
	});
});

// A record whose key contains no time could never be removed safely.
test('refuses keys that are not UUID version 7', () => {
	for (const key of [
		undefined,
		'',
		'order-1',
		'0190f5c4-0000-4abc-8def-0123456789ab',
	]) {
		assert.throws(() => checkBookingKey(key, wallMs, 1000), {
			type: 'idempotency-key-invalid',
		});
	}
});
