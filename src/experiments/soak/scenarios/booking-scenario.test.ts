import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {InvariantName} from '../../../common/index.js';
import type {BookingCheck} from '../../../decisions/bookings/index.js';
import {BookingScenario} from './booking-scenario.js';
import {findViolation} from './find-violation.js';

const maxRuns = 400;

const plantedFaults: ReadonlyArray<readonly [BookingCheck, InvariantName]> = [
	['attempt-id', 'at-most-once'],
	['single-send', 'at-most-once'],
	['horizon', 'at-most-once'],
	['give-up-uncertain-claim', 'not-run'],
	['give-up-before-send', 'not-run'],
	['absence-is-no-proof', 'not-run'],
	['read-before-not-run', 'not-run'],
	['row-version', 'whole-answer'],
	['body-hash', 'whole-answer'],
];

for (const [check, name] of plantedFaults) {
	// Randomized runs that never need a check would not detect its loss in the decision code.
	test(`the scenario detects that bookings omit the check "${check}"`, async (t) => {
		const found = await findViolation(
			new BookingScenario(new Set([check])),
			name,
			maxRuns,
		);
		assert.ok(found, `no violation of ${name} in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}

const settlementFaults: ReadonlyArray<readonly [BookingCheck, InvariantName]> =
	[
		['absence-is-no-proof', 'not-run'],
		['row-version', 'whole-answer'],
	];

for (const [check, name] of settlementFaults) {
	// Runs in which the settlement never races with a pending call or another writer would not need its checks.
	test(`the scenario detects that the settlement omits the check "${check}"`, async (t) => {
		const found = await findViolation(
			new BookingScenario(undefined, new Set([check])),
			name,
			maxRuns,
		);
		assert.ok(found, `no violation of ${name} in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}
