import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {repeat} from './repeat.js';

test('an error in one run of a repeated task, such as heartbeats, does not stop the later runs', async () => {
	const time = new VirtualTime();
	const errors: unknown[] = [];
	let runCount = 0;
	const task = repeat(time, {
		intervalMs: () => 100,
		run() {
			runCount++;
			if (runCount === 2) {
				throw new Error('once');
			}
		},
		onError(error) {
			errors.push(error);
		},
	});
	await time.runUntil(550);
	assert.equal(runCount, 5);
	assert.equal(errors.length, 1);
	task.dispose();
	await time.runUntil(1000);
	assert.equal(runCount, 5);
});

test('a task that is disposed during its own run is not scheduled again', async () => {
	const time = new VirtualTime();
	let runCount = 0;
	const task = repeat(time, {
		intervalMs: () => 100,
		run() {
			runCount++;
			task.dispose();
		},
		onError() {
			assert.fail();
		},
	});
	await time.runUntil(500);
	assert.equal(runCount, 1);
});
