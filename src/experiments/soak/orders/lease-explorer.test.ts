import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	leaseDecisions,
	type LeaseState,
} from '../../../decisions/leases/index.js';
import {LeaseExplorer} from './lease-explorer.js';

for (const fencing of ['ignores', 'refuses-old'] as const) {
	// Guards against two holders that act on one target in some order of events.
	test(`no interleaving breaks order-fencing on a target that ${fencing}`, (context) => {
		const explorer = new LeaseExplorer(fencing, leaseDecisions).run();
		context.diagnostic(`${explorer.stateCount} states`);
		assert.deepEqual([...explorer.violations], []);
		assert.ok(
			explorer.secondHolderEffectCount > 0,
			'the second holder never acted',
		);
	});
}

// Guards against an exploration that would not notice two holders that act.
test('the exploration finds what goes wrong without the passive wait', () => {
	const explorer = new LeaseExplorer('ignores', {
		...leaseDecisions,
		decide(state, nowMs, current) {
			const action = leaseDecisions.decide(state, nowMs, current);
			const gone: LeaseState = {...state, predecessor: 'gone'};
			return action.kind === 'ask'
				? leaseDecisions.decide(gone, nowMs, current)
				: action;
		},
	}).run();
	assert.notEqual(explorer.violations.size, 0);
});
