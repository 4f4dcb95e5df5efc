import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	Clock,
	ProblemError,
	VmList,
	type VmListSnapshot,
} from '../../common/index.js';
import {CachedVmList} from './cached-vm-list.js';

class ManualClock extends Clock {
	timeMs = 0;

	override nowMs(): number {
		return this.timeMs;
	}

	override wallMs(): number {
		return this.timeMs;
	}
}

class CountingVmList extends VmList {
	readCount = 0;
	fails = false;

	override async read(): Promise<VmListSnapshot> {
		this.readCount++;
		if (this.fails) {
			throw new ProblemError(
				'vm-list-unavailable',
				'VM list could not be read',
			);
		}

		return {sequence: this.readCount, vms: []};
	}
}

test('a snapshot is not returned after its age limit, nor a failure a second time', async () => {
	const clock = new ManualClock();
	const inner = new CountingVmList();
	const list = new CachedVmList(inner, clock, 1000);
	const readSequence = async () => {
		const snapshot = await list.read();
		return snapshot.sequence;
	};

	await readSequence();
	clock.timeMs = 999;
	assert.equal(await readSequence(), 1);
	clock.timeMs = 1000;
	assert.equal(await readSequence(), 2);
	clock.timeMs = 2000;
	inner.fails = true;
	await assert.rejects(list.read(), {type: 'vm-list-unavailable'});
	inner.fails = false;
	assert.equal(await readSequence(), 4);
});
