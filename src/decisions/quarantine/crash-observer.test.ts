import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TargetLiveness} from '../../common/index.js';
import {
	fakeCallerRequest,
	fakeTargetEntry,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createCrashEvidence} from './crash-evidence.js';
import {createCrashObserver} from './crash-observer.js';

const engine = fakeTargetEntry('e1');

function createObserver(liveness: TargetLiveness) {
	const time = new VirtualTime();
	const evidence = createCrashEvidence(time);
	let checkCount = 0;
	const ended: string[] = [];
	const observer = createCrashObserver({
		clock: time,
		evidence,
		async checkLiveness() {
			checkCount++;
			return liveness;
		},
		onEnded(target, requestIds) {
			ended.push(`${target.id}: ${requestIds.join(' ')}`);
		},
	});
	const breakRun = (id: string, ...partIds: string[]) => {
		observer.runBroken({
			target: engine,
			sentMs: time.nowMs(),
			attemptEventCount: 0,
			request: fakeCallerRequest({
				id,
				generation: {
					model: 'm',
					promptTokens: 100,
					maxOutputTokens: 10,
					promptParts: partIds.map((partId) => ({id: partId, tokens: 50})),
					lengthHintTokens: undefined,
				},
			}),
		});
	};

	return {
		time,
		evidence,
		observer,
		ended,
		breakRun,
		get checkCount() {
			return checkCount;
		},
	};
}

test('records the parts of all runs that broke at an engine that has ended, after one check', async () => {
	const fixture = createObserver('ended');
	fixture.breakRun('q1', 'a', 'x');
	fixture.breakRun('q2', 'a', 'b');
	await fixture.time.runUntil(10);
	fixture.breakRun('q3', 'c');
	await fixture.time.runUntil(20);
	assert.deepEqual(fixture.evidence.partIds(), ['a', 'x', 'b', 'c']);
	assert.equal(fixture.checkCount, 1);
	assert.deepEqual(fixture.ended, ['e1: q1 q2', 'e1: q3']);
	const [{atMs}] = fixture.evidence.crashesOf('c');
	assert.equal(atMs, 0);
});

test('a run that breaks at an engine that goes on is no crash', async () => {
	const {time, evidence, observer, breakRun} = createObserver('alive');
	breakRun('q1', 'a', 'x');
	await time.runUntil(10);
	observer.engineGone('e1');
	assert.deepEqual(evidence.partIds(), []);
});

test('an engine that did not answer the check counts as ended if it refuses connections or is gone soon after', async () => {
	const soon = createObserver('unknown');
	soon.breakRun('q1', 'a', 'x');
	await soon.time.runUntil(3000);
	assert.deepEqual(soon.evidence.partIds(), []);
	soon.observer.engineGone('e1');
	assert.deepEqual(soon.evidence.partIds(), ['a', 'x']);
	const late = createObserver('unknown');
	late.breakRun('q1', 'a', 'x');
	await late.time.runUntil(6000);
	late.observer.engineGone('e1');
	assert.deepEqual(late.evidence.partIds(), []);
});
