import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {waitForRequests} from './wait-for-requests.js';

function start(openRequestCount: number) {
	const time = new VirtualTime();
	const listener = {
		openRequestCount,
		closeIdleConnections() {
			// No connection is idle here.
		},
	};
	const seen = {endedMs: 0, givenUpMs: 0};
	void (async () => {
		await waitForRequests({
			clock: time,
			timers: time,
			listener,
			deadlineMs: 4000,
			giveUpAll() {
				seen.givenUpMs = time.nowMs();
				listener.openRequestCount = 0;
			},
		});
		seen.endedMs = time.nowMs();
	})();

	return {time, seen, listener};
}

test('ends in the turn in which it counts no request, so that none is accepted before the connections close', async () => {
	const {time, seen, listener} = start(3);
	await time.runUntil(3020);
	listener.openRequestCount = 0;
	await time.runUntil(3100);
	assert.deepEqual(seen, {endedMs: 3100, givenUpMs: 0});
});

test('gives up requests that are still open at the deadline, and waits for their responses', async () => {
	const {time, seen} = start(3);
	await time.runUntil(5000);
	assert.deepEqual(seen, {endedMs: 4150, givenUpMs: 4100});
});
