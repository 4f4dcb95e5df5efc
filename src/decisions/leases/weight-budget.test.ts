import assert from 'node:assert/strict';
import {test} from 'node:test';
import {debitWeightBudget, parseWeightBudget} from './weight-budget.js';

const settings = {bytesPerSecond: 100, burstBytes: 1000};

// Guards against refilling one interval twice when the wall clocks of two VMs differ.
test('VMs with different wall clocks share one refill', () => {
	let budget = parseWeightBudget(undefined, 0, settings);
	let taken = 0;
	for (let step = 0; step < 200; step++) {
		const wallMs = step * 100 + (step % 2 === 0 ? 0 : 3000);
		const next = debitWeightBudget(budget, 50, wallMs, settings);
		taken += next ? 50 : 0;
		budget = next ?? budget;
	}

	const latestWallMs = 199 * 100 + 3000;
	assert.ok(taken <= 1000 + (latestWallMs / 1000) * 100, `${taken} bytes`);
	assert.ok(taken >= 2000, `${taken} bytes`);
});

// Guards against a model that can never be loaded since it is larger than the bucket.
test('a load larger than the burst passes with a full bucket', () => {
	const full = parseWeightBudget(undefined, 0, settings);
	const after = debitWeightBudget(full, 5000, 0, settings);
	assert.equal(after?.availableBytes, -4000);
	assert.equal(debitWeightBudget(after, 5000, 49_000, settings), undefined);
	assert.ok(debitWeightBudget(after, 5000, 50_000, settings));
});
