import assert from 'node:assert/strict';
import {test} from 'node:test';
import {compareScore} from './compare-score.js';
import {readScoreText} from './score-text.js';

const text = (gate: string) => `built in 7.0 s; 51181 lines in 558 files
score on the standard days of a-site (set ede4cf57): 0.957, +0.957 against snapshot 1aa82284
day                  own/srv  score  worth served refused failed  weakest part
quiet-1               195/68   1.00  0.896  0.991   0.000  0.015  worst class 0.93
trouble-1             195/68   0.95  0.558  0.795   0.000  0.066  worst windows 0.17
scale-1               195/68   1.00  0.827  0.935   0.000  0.022  worst windows 0.84
trouble-2             195/68   0.05 -0.039  0.795   0.000  0.066  worst windows 0.07
fresh-96f7            195/68   0.87  0.100  0.760   0.000  0.069  worst windows 0.13
GATE ${gate}
`;
const site = {
	name: 'a-site',
	file: 'a.toml',
	quietWorth: 0.92,
	troubleWorth: 0.45,
};

test('reports a mean worth below the last measured one by more than the tolerance', () => {
	const score = readScoreText(text('passed'));
	assert.ok(score);
	const same = compareScore(site, score);
	assert.deepEqual(same.problems, []);
	assert.deepEqual([same.quietWorth, same.troubleWorth], [0.896, 0.449]);
	const worse = compareScore({...site, troubleWorth: 0.5}, score);
	assert.deepEqual(worse.problems, [
		'mean worth of the scale and trouble days is 0.449, was 0.5',
	]);
});

test('rejects a score with a failed gate, without a gate line or without days', () => {
	const failed = readScoreText(text('failed'));
	assert.ok(failed);
	assert.deepEqual(compareScore(site, failed).problems, ['the gate failed']);
	assert.equal(readScoreText(text('').replace(/^GATE.*/m, '')), undefined);
	const empty = {...failed, hasPassed: true, worthByDay: new Map()};
	assert.equal(compareScore(site, empty).problems.length, 2);
});
