import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import type {BookingCheck} from '../../../decisions/bookings/index.js';
import {
	exploreBookings,
	type ExplorationFaults,
} from './booking-exploration.js';

const explored: readonly ExplorationFaults[] = [
	{losesResponse: true, processFault: 'none'},
	{losesResponse: true, processFault: 'crash'},
	{losesResponse: false, processFault: 'pause'},
	// These 138340 message orders take minutes to run, so they are only run on demand.
	...(process.env.COWSLIP_EXPLORE_ALL === undefined
		? []
		: [{losesResponse: true, processFault: 'pause'} as const]),
];

for (const faults of explored) {
	// Some orders of messages are too rare for the randomized runs to reach.
	test(`no order of messages violates an invariant for two VMs with one key (lost response: ${faults.losesResponse}, process fault: ${faults.processFault})`, async (t) => {
		const report = await exploreBookings(faults);
		assert.deepEqual(report.violations, []);
		assert.ok(report.isComplete);
		t.diagnostic(`${report.runs} message orders`);
	});
}

const plantedFaults: readonly BookingCheck[] = [
	'attempt-id',
	'single-send',
	'row-version',
	'read-before-not-run',
];
const maxRuns = 2000;

for (const check of plantedFaults) {
	// An exploration that skipped some message orders might not reach one that needs this check.
	test(`the exploration finds a violation when the check "${check}" is omitted`, async (t) => {
		const report = await exploreBookings(
			{losesResponse: true, processFault: 'pause'},
			new Set([check]),
			maxRuns,
		);
		assert.notEqual(report.violations.length, 0);
		t.diagnostic(`run ${report.runs}: ${report.violations[0].detail}`);
	});
}
