import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TargetDescription, VmEntry} from '../../common/index.js';
import {createLeaseRanking} from './lease-ranking.js';

const vms = Array.from({length: 20}, (_, index): VmEntry => ({
	instanceId: `vm-${index}`,
	role: 'entry',
	name: `entry-${index}`,
	availabilityZone: `zone-${index % 4}`,
	region: `region-${index % 2}`,
	address: '',
	state: 'live',
}));

const target = (index: number): TargetDescription => ({
	id: `engine-${index}`,
	kind: 'engine',
	url: '',
	availabilityZone: `zone-${index % 4}`,
	models: [],
	service: '',
	fencing: 'ignores',
	answersOutcomes: false,
});

function firstCandidates(live: readonly VmEntry[]): string[] {
	const spreads = live.map(
		(vm) => [vm, createLeaseRanking(live, vm.instanceId, 2)] as const,
	);
	return Array.from({length: 200}, (_, index) => {
		const firsts = spreads.filter(
			([, spread]) => spread.rankFor(target(index)) === 0,
		);
		assert.equal(firsts.length, 1);
		return firsts[0][0].instanceId;
	});
}

// Guards against one VM that holds most leases, and against leases that move when another VM leaves.
test('leases spread evenly, stay in the region and move little', () => {
	const before = firstCandidates(vms);
	const counts = new Map<string, number>();
	for (const [index, id] of before.entries()) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
		assert.equal(
			vms.find((vm) => vm.instanceId === id)?.region,
			`region-${index % 2}`,
		);
	}

	assert.ok(Math.max(...counts.values()) <= 25, 'one VM has too many leases');
	const after = firstCandidates(vms.filter((vm) => vm.instanceId !== 'vm-7'));
	for (const [index, id] of before.entries()) {
		assert.ok(id === 'vm-7' || after[index] === id, 'a lease moved needlessly');
	}
});
