import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createRetryShare} from './retry-share.js';

test('replay "all targets fail at once": eight VMs together stay within the fleet\'s budget', async () => {
	const time = new VirtualTime();
	const shares = Array.from({length: 8}, () =>
		createRetryShare({
			clock: time,
			bounds: () => ({ratio: 0.2, extra: 56, windowMs: 10_000}),
			vmCount: () => 8,
			askPool: (service, onAnswer) => ({
				dispose() {
					onAnswer(service === '');
				},
			}),
		}),
	);
	const taken: number[] = [];
	let requests = 0;
	for (let ms = 0; ms < 25_000; ms += 100) {
		await time.runUntil(ms);
		for (const share of shares) {
			share.recordRequest('desk');
			requests++;
			if (share.tryTake('desk')) {
				taken.push(ms);
			}
		}
	}

	const perWindow = (requests / 25_000) * 10_000;
	for (let start = 0; start <= 15_000; start += 500) {
		const inWindow = taken.filter(
			(ms) => ms >= start && ms < start + 10_000,
		).length;
		assert.ok(inWindow <= 0.2 * perWindow + 56, `${inWindow} from ${start}`);
	}

	assert.ok(taken.length > 100);
});
