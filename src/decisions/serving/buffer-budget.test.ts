import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBufferBudget} from './buffer-budget.js';

test('guards against one answer that takes the memory of all others', () => {
	const held = createBufferBudget({
		admissionLimitBytes: 100,
		hardLimitBytes: 200,
	});
	const endless = held.track(50);
	assert.equal(endless.set(50), undefined);
	assert.equal(endless.set(51), 'too large');
	endless.dispose();
	assert.equal(held.isFull, false);
});

test('guards against new work on a VM whose memory is used up, and against breaking off the work under way', () => {
	const held = createBufferBudget({
		admissionLimitBytes: 100,
		hardLimitBytes: 200,
	});
	const [first, second, third] = [1, 2, 3].map(() => held.track(90));
	assert.equal(first.set(90), undefined);
	assert.equal(held.isFull, false);
	assert.equal(second.set(90), undefined);
	assert.equal(held.isFull, true);
	assert.equal(third.set(30), 'the memory of the VM is used up');
	third.dispose();
	assert.equal(first.set(80), undefined);
	first.dispose();
	second.dispose();
	assert.equal(held.isFull, false);
});
