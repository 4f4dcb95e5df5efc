import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep, startEngineFleet} from './testing/index.js';

const pauseMs = 1500;

test('a planned stop does not give up or move streams whose engines pause, while no engine has room for their copies (review case 9)', async (context) => {
	const {vms, engines, works, stream, wholeStream} = await startEngineFleet({
		context,
		vmIps: [1, 2].map((vm) => `127.0.62.${vm}`),
		engineCount: 3,
		prefillMs: 40,
		eventCount: 90,
	});
	for (const {engine} of engines) {
		engine.setRoomForCopies(false);
	}

	const ids = Array.from({length: 6}, (_, index) => `r${index}`);
	const responses = ids.map(async (id, index) => stream(index % 2, id));
	await sleep(600);
	void vms[0].daemon.stop();
	await sleep(300);
	for (const {engine} of engines) {
		engine.pause(pauseMs);
	}

	const received = await Promise.all(responses);
	for (const [index, {status, body, aborted}] of received.entries()) {
		assert.deepEqual([status, aborted], [200, false], ids[index]);
		assert.equal(body, wholeStream(ids[index]));
	}

	assert.equal(works.length, ids.length, 'each run stays where it is');
});
