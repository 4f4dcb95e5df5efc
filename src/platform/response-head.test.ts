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

test('reads whether a target leaves', () => {
	const leavingOf = (value: string) =>
		decodeResponseHead(200, [['SERVER-LEAVING', value]]).leaving;
	assert.deepEqual(decodeResponseHead(200, []).leaving, {state: 'staying'});
	assert.deepEqual(leavingOf('1'), {state: 'leaving'});
	assert.deepEqual(leavingOf('0'), {state: 'staying'});
	for (const text of ['', 'yes', '2', '-1', '1, 1']) {
		assert.equal(leavingOf(text).state, 'malformed');
	}
});

test('reads for how long a target that turns a request away wants no others, and only then', () => {
	const backOffOf = (value: string, status = 503) =>
		decodeResponseHead(status, [['Retry-After', value]]).backOff;
	for (const [text, durationMs] of [
		['3', 3000],
		['0.25', 250],
		['600', 600_000],
	] as const) {
		assert.deepEqual(backOffOf(text), {state: 'backing-off', durationMs});
		assert.deepEqual(backOffOf(text, 429), {state: 'backing-off', durationMs});
		assert.deepEqual(backOffOf(text, 200), {state: 'none'});
		assert.deepEqual(backOffOf(text, 500), {state: 'none'});
	}

	assert.deepEqual(backOffOf('0'), {state: 'none'});
	for (const text of [
		'',
		'-3',
		'601',
		'1e9',
		'99999999999999999999',
		'soon',
		'Fri, 04 Dec 2026 10:00:00 GMT',
	]) {
		const backOff = backOffOf(text);
		assert.ok(
			backOff.state === 'malformed' && backOff.detail.length < 200,
			text,
		);
	}
});

test('reads for how long a target stays cold', () => {
	const coldOf = (value: string) =>
		decodeResponseHead(200, [['cowslipspread-cold-ms', value]]).cold;
	assert.deepEqual(decodeResponseHead(200, []).cold, {state: 'not-stated'});
	assert.deepEqual(coldOf('850'), {state: 'stated', coldMs: 850});
	assert.deepEqual(coldOf('0'), {state: 'stated', coldMs: 0});
	for (const text of ['', '-1', '1e3', 'soon', '86400001', '5, 5']) {
		assert.equal(coldOf(text).state, 'malformed', text);
	}
});
