import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBufferBudget} from './buffer-budget.js';

test('one response cannot use up the memory of all others', () => {
	const budget = createBufferBudget({
		admissionLimitBytes: 100,
		hardLimitBytes: 200,
	});
	const usage = budget.track(50);
	assert.equal(usage.set(50), undefined);
	assert.equal(usage.set(51), 'too large');
	usage.dispose();
	assert.equal(budget.isFull, false);
});

test('a full VM refuses new requests but does not abort those in progress unless they grow', () => {
	const budget = createBufferBudget({
		admissionLimitBytes: 100,
		hardLimitBytes: 200,
	});
	const [first, second, third] = [1, 2, 3].map(() => budget.track(90));
	assert.equal(first.set(90), undefined);
	assert.equal(budget.isFull, false);
	assert.equal(second.set(90), undefined);
	assert.equal(budget.isFull, true);
	assert.equal(third.set(30), 'the memory of the VM is used up');
	third.dispose();
	assert.equal(first.set(80), undefined);
	first.dispose();
	second.dispose();
	assert.equal(budget.isFull, false);
});
