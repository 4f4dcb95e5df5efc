import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	leaseDecisions,
	type LeaseState,
} from '../../../decisions/leases/index.js';
import {LeaseExplorer} from './lease-explorer.js';

for (const fencing of ['ignores', 'refuses-old'] as const) {
	// Two holders of one lease must not both act on the target in any order of events. The second holder
	// has to act at least once, or the exploration would not cover the takeover.
	test(`no interleaving lets two holders act at once on a target with fencing "${fencing}"`, (context) => {
		const explorer = new LeaseExplorer(fencing, leaseDecisions).run();
		context.diagnostic(`${explorer.stateCount} states`);
		assert.deepEqual([...explorer.violations], []);
		assert.ok(
			explorer.secondHolderEffectCount > 0,
			'no command of the second holder took effect',
		);
	});
}

// Fails if the exploration misses two holders that act at once: the second one takes over at once.
test('the exploration detects a takeover without evidence that the predecessor has stopped', () => {
	const explorer = new LeaseExplorer('ignores', {
		...leaseDecisions,
		decide(state, nowMs, settings) {
			const action = leaseDecisions.decide(state, nowMs, settings);
			const stateWithGonePredecessor: LeaseState = {
				...state,
				predecessor: 'gone',
			};
			return action.kind === 'ask'
				? leaseDecisions.decide(stateWithGonePredecessor, nowMs, settings)
				: action;
		},
	}).run();
	assert.notEqual(explorer.violations.size, 0);
});
