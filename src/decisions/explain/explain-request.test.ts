import assert from 'node:assert/strict';
import {test} from 'node:test';
import {explainRequest, parseLog} from './explain-request.js';

const at = (second: number) => new Date(second * 1000).toISOString();
const line = (second: number, record: Readonly<Record<string, unknown>>) =>
	JSON.stringify({timestamp: at(second), vm: 'vm-1', ...record});

const log = parseLog(
	[
		line(1, {message: 'dependency lost', dependency: 'old'}),
		line(10, {message: 'stream sent', request: 'q1', target: 'e1'}),
		line(11, {message: 'stream sent', request: 'q2', target: 'e2'}),
		line(12, {message: 'target leaves', target: 'e1'}),
		line(12, {message: 'target leaves', target: 'e9'}),
		line(12, {message: 'dependency lost', dependency: 'store', vm: 'vm-2'}),
		line(13, {message: 'dependency lost', dependency: 'store'}),
		line(14, {message: 'stream ended', request: 'q1', target: 'e1'}),
		'not json',
	].join('\n'),
);

test('the explanation of a request has the events of its VM and targets around that time, and no unrelated ones', () => {
	assert.deepEqual(
		explainRequest(log, 'q1').map(({message}) => message),
		['stream sent', 'target leaves', 'dependency lost', 'stream ended'],
	);
	assert.deepEqual(explainRequest(log, 'q9'), []);
});

test('the explanation of a request has the rate limit of its target that was set long before', () => {
	const limits = parseLog(
		[
			line(1, {message: 'rate limit set', target: 't1', requestsPerSecond: 9}),
			line(2, {message: 'rate limit set', target: 't1', requestsPerSecond: 4}),
			line(3, {message: 'rate limit set', target: 't2', requestsPerSecond: 4}),
			line(60, {message: 'call sent', request: 'q1', target: 't1'}),
		].join('\n'),
	);
	assert.deepEqual(
		explainRequest(limits, 'q1').map((record) => record.requestsPerSecond),
		[4, undefined],
	);
});

test('the explanation of a request that was refused because of rate limits has the limits that its VM knew', () => {
	const records = parseLog(
		[
			line(1, {message: 'rate limit set', target: 't1', requestsPerSecond: 9}),
			line(2, {message: 'rate limit set', target: 't2', requestsPerSecond: 4}),
			line(60, {
				message: 'call ended',
				request: 'q1',
				outcome: 'the targets limit their request rate',
			}),
		].join('\n'),
	);
	assert.deepEqual(
		explainRequest(records, 'q1').map((record) => record.requestsPerSecond),
		[9, 4, undefined],
	);
});

test('the explanation of a held request has the suspicion of its prompt part, and that of no other', () => {
	const begins = 'suspicion of a prompt part begins';
	const records = parseLog(
		[
			line(1, {message: begins, part: 'x', crashes: 3}),
			line(2, {message: begins, part: 'y', crashes: 4}),
			line(60, {message: 'request held', request: 'q1', promptParts: 'a x'}),
		].join('\n'),
	);
	assert.deepEqual(
		explainRequest(records, 'q1').map(({part}) => part),
		['x', undefined],
	);
});

test('the explanation of a refused request has what the targets of its VM had said long before', () => {
	const records = parseLog(
		[
			line(1, {message: 'leaving of a target begins', target: 't1'}),
			line(2, {message: 'leaving of a target ends', target: 't1'}),
			line(3, {message: 'back-off of a target begins', target: 't1'}),
			line(4, {message: 'leaving of a target begins', target: 't2'}),
			line(60, {
				message: 'call ended',
				request: 'q1',
				outcome: 'all targets want no requests for a time',
			}),
		].join('\n'),
	);
	assert.deepEqual(
		explainRequest(records, 'q1').map(({message}) => message),
		[
			'leaving of a target ends',
			'back-off of a target begins',
			'leaving of a target begins',
			'call ended',
		],
	);
});
