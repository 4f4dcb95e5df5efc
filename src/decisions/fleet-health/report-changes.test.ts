import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createReportChanges} from './report-changes.js';

const report = (sequence: number, failures: number, incarnation = 1) => ({
	incarnation,
	sequence,
	totals: [
		{
			targetId: 's1',
			answers: 0,
			failures,
			idempotentCalls: 0,
			trialAnswers: 0,
			trialFailures: 0,
		},
	],
});

test('lost, repeated and late reports neither lose failures nor count them twice', () => {
	const changes = createReportChanges();
	const failuresIn = (...parameters: Parameters<typeof report>) =>
		changes
			.changesIn('vm-1', report(...parameters))
			.map(({failures}) => failures);
	assert.deepEqual(failuresIn(1, 2), [2]);
	assert.deepEqual(failuresIn(3, 7), [5]);
	assert.deepEqual(failuresIn(3, 7), []);
	assert.deepEqual(failuresIn(2, 4), []);
	assert.deepEqual(failuresIn(1, 1, 2), [1]);
});

test('a new coordinator does not count what a VM has seen since its start as recent', () => {
	const changes = createReportChanges();
	const failuresIn = (sequence: number, failures: number) =>
		changes.changesIn('vm-1', report(sequence, failures))[0].failures;
	assert.equal(failuresIn(400, 90), 0);
	assert.equal(failuresIn(401, 92), 2);
});
