import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createAvoidedTargets} from './avoided-targets.js';

function start() {
	const time = new VirtualTime();
	const avoidedTargets = createAvoidedTargets(time, new SeededRandomSource(3));
	const changes: string[] = [];
	avoidedTargets.onChanged(({targetId, change, cause}) => {
		changes.push(`${targetId} ${change} ${cause}`);
	});
	avoidedTargets.replace([
		{targetId: 's1', idempotentShare: 0.25, otherShare: 0},
	]);
	return {time, avoidedTargets, changes};
}

const withRoom = (...ids: readonly string[]) =>
	ids.map((targetId) => ({targetId, hasRoom: true}));

test('only idempotent calls are trials of an avoided target, and retries are none', () => {
	const {avoidedTargets} = start();
	const trialCount = (isIdempotent: boolean, isFirstSend: boolean) =>
		Array.from({length: 1000}).filter(
			() =>
				!avoidedTargets
					.draw(withRoom('s1', 's2'), isIdempotent, isFirstSend)
					.has('s1'),
		).length;
	assert.equal(trialCount(false, true), 0);
	assert.equal(trialCount(true, false), 0);
	const trials = trialCount(true, true);
	assert.ok(trials > 200 && trials < 300, String(trials));
});

test('an avoided target gets calls if it is the only one left or the others have no room', () => {
	const {avoidedTargets} = start();
	assert.equal(avoidedTargets.draw(withRoom('s1'), false, true).size, 0);
	const candidates = [...withRoom('s1'), {targetId: 's2', hasRoom: false}];
	assert.equal(avoidedTargets.draw(candidates, false, true).size, 0);
});

test('a target is not avoided for ever when the coordinator falls silent', async () => {
	const {time, avoidedTargets, changes} = start();
	await time.runUntil(3400);
	avoidedTargets.sweep();
	assert.equal(avoidedTargets.isAvoided('s1'), true);
	await time.runUntil(3600);
	assert.equal(avoidedTargets.isAvoided('s1'), false);
	avoidedTargets.sweep();
	assert.deepEqual(changes, ['s1 begins decided', 's1 ends expired']);
});
