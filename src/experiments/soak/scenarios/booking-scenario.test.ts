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
	// Guards against randomized runs that would pass without this check in the decision code.
	test(`the runs notice that bookings lack the check "${check}"`, async (t) => {
		const found = await findViolation(
			new BookingScenario(new Set([check])),
			name,
			maxRuns,
		);
		assert.ok(found, `${name} held in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}

const settlementFaults: ReadonlyArray<readonly [BookingCheck, InvariantName]> =
	[
		['absence-is-no-proof', 'not-run'],
		['row-version', 'whole-answer'],
	];

for (const [check, name] of settlementFaults) {
	// Guards against runs in which the settlement meets no call under way and no other writer.
	test(`the runs notice that the settlement lacks the check "${check}"`, async (t) => {
		const found = await findViolation(
			new BookingScenario(undefined, new Set([check])),
			name,
			maxRuns,
		);
		assert.ok(found, `${name} held in ${maxRuns} runs`);
		t.diagnostic(`seed ${found.seed}: ${found.detail}`);
	});
}
