import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {waitForRequests} from './wait-for-requests.js';

function start(openCount: number) {
	const time = new VirtualTime();
	const listener = {
		openCount,
		server: {
			closeIdleConnections() {
				// No connection is idle here.
			},
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
				listener.openCount = 0;
			},
		});
		seen.endedMs = time.nowMs();
	})();

	return {time, seen, listener};
}

test('guards against requests that are accepted after a stop has counted none, and cut off when it closes', async () => {
	const {time, seen, listener} = start(3);
	await time.runUntil(3020);
	listener.openCount = 0;
	await time.runUntil(3100);
	assert.deepEqual(seen, {endedMs: 3100, givenUpMs: 0});
});

test('guards against requests that are still open at the end of the grace time and get no answer', async () => {
	const {time, seen} = start(3);
	await time.runUntil(5000);
	assert.deepEqual(seen, {endedMs: 4150, givenUpMs: 4100});
});
