import assert from 'node:assert/strict';
import {test} from 'node:test';
import {startGatedSession} from './gated-session.js';

test('a request that waits for the gate when its VM stops is refused exactly once', () => {
	const refusals: string[] = [];
	let startedCount = 0;
	let pendingRun: (() => void) | undefined;
	const session = startGatedSession({
		gate: {
			whenFresh(run) {
				pendingRun = run;
				return {
					dispose() {
						pendingRun = undefined;
					},
				};
			},
		},
		start() {
			startedCount++;
			throw new Error('must not start');
		},
		refuse(reason) {
			refusals.push(reason);
		},
	});
	assert.deepEqual([session.mayHaveRun, session.isDone], [false, false]);
	session.giveUp('the VM is stopping', 50);
	session.giveUp('the VM stopped', 50);
	assert.deepEqual(refusals, ['the VM is stopping']);
	assert.deepEqual(
		[session.isDone, pendingRun, startedCount],
		[true, undefined, 0],
	);
});
