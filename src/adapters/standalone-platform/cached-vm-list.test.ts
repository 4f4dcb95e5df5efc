import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	Clock,
	ProblemError,
	VmList,
	type VmListSnapshot,
} from '../../common/index.js';
import {CachedVmList} from './cached-vm-list.js';

class SetClock extends Clock {
	timeMs = 0;

	override nowMs(): number {
		return this.timeMs;
	}

	override wallMs(): number {
		return this.timeMs;
	}
}

class CountingList extends VmList {
	reads = 0;
	fails = false;

	override async read(): Promise<VmListSnapshot> {
		this.reads++;
		if (this.fails) {
			throw new ProblemError('vm-list-unavailable', 'list is away');
		}

		return {sequence: this.reads, vms: []};
	}
}

// Guards against a reading that is given out after its age limit, and against a failure that is kept.
test('gives a reading out again only while it is fresh, and no failure', async () => {
	const clock = new SetClock();
	const inner = new CountingList();
	const list = new CachedVmList(inner, clock, 1000);
	const sequence = async () => {
		const snapshot = await list.read();
		return snapshot.sequence;
	};

	await sequence();
	clock.timeMs = 999;
	assert.equal(await sequence(), 1);
	clock.timeMs = 1000;
	assert.equal(await sequence(), 2);
	clock.timeMs = 2000;
	inner.fails = true;
	await assert.rejects(list.read(), {type: 'vm-list-unavailable'});
	inner.fails = false;
	assert.equal(await sequence(), 4);
});
