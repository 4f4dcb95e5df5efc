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
	// 138340 orders take minutes, so that this one runs on demand.
	...(process.env.COWSLIP_EXPLORE_ALL === undefined
		? []
		: [{losesResponse: true, processFault: 'pause'} as const]),
];

for (const faults of explored) {
	// Guards against an order of messages that the randomized runs are unlikely to meet.
	test(`two VMs with one key, lost answer ${faults.losesResponse}, fault ${faults.processFault}`, async (t) => {
		const report = await exploreBookings(faults);
		assert.deepEqual(report.violations, []);
		assert.ok(report.isComplete);
		t.diagnostic(`${report.runs} orders`);
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
	// Guards against an exploration that misses the orders in which this check matters.
	test(`the exploration notices that the check "${check}" is missing`, async (t) => {
		const report = await exploreBookings(
			{losesResponse: true, processFault: 'pause'},
			new Set([check]),
			maxRuns,
		);
		assert.notEqual(report.violations.length, 0);
		t.diagnostic(`run ${report.runs}: ${report.violations[0].detail}`);
	});
}
