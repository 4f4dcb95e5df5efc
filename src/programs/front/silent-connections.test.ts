import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {type EngineWork, sleep, startEngineFleet} from './testing/index.js';

/** Time in which an engine notices that its run goes on elsewhere, in milliseconds. */
const handoverMs = 400;

/** Runs that go on at a second engine while the one before still works on them. */
function overlapsOf(works: readonly EngineWork[]) {
	return works.filter((second) =>
		works.some(
			(first) =>
				first.requestId === second.requestId &&
				first.startMs < second.startMs &&
				first.endMs > second.startMs + handoverMs,
		),
	);
}

suite('connections to engines go silent for good', {concurrency: true}, () => {
	for (const [when, scenario, prefillMs, silentAfterMs] of [
		['in the middle of their streams', 60, 40, 400],
		['before the first events', 61, 1500, 800],
	] as const) {
		test(`no stream goes on at a second engine while the first works on it, and each is served whole: ${when} (review case 8)`, async (context) => {
			const {engines, works, stream, wholeStream} = await startEngineFleet({
				context,
				vmIps: [1, 2].map((vm) => `127.0.${scenario}.${vm}`),
				engineCount: 3,
				prefillMs,
				eventCount: 200,
			});
			const ids = Array.from({length: 6}, (_, index) => `r${index}`);
			const responses = ids.map(async (id, index) => stream(index % 2, id));
			await sleep(silentAfterMs);
			for (const {proxy} of engines) {
				proxy.setFault('silence');
				proxy.setFault(undefined);
			}

			const received = await Promise.all(responses);
			assert.deepEqual(overlapsOf(works), []);
			assert.ok(works.length > ids.length, 'streams went on elsewhere');
			for (const [index, {status, body}] of received.entries()) {
				assert.equal(status, 200);
				assert.equal(body, wholeStream(ids[index]));
			}
		});
	}
});
