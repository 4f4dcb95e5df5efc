import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decodeResponseHead} from './response-head.js';

const rateLimitOf = (value: string) =>
	decodeResponseHead(200, [['server-limit', value]]).rateLimit;

test('reads the rate limit of a target, and says what is wrong with one that it cannot read', () => {
	assert.deepEqual(decodeResponseHead(200, []).rateLimit, {state: 'unlimited'});
	for (const [text, requestsPerSecond] of [
		['3.6', 3.6],
		['4', 4],
		['0', 0],
		['.5', 0.5],
	] as const) {
		assert.deepEqual(rateLimitOf(text), {state: 'limited', requestsPerSecond});
	}

	for (const text of ['', '-1', '1e3', 'many', '1,5', 'Infinity', '4 5']) {
		const limit = rateLimitOf(text);
		assert.equal(limit.state, 'malformed');
		assert.ok(
			limit.state === 'malformed' && limit.detail.includes(`"${text}"`),
		);
	}
});
