import assert from 'node:assert/strict';
import {test} from 'node:test';
import {digestIntervals, otherZoneCostMs} from './digest-schedule.js';

test('guards against a large fleet that tells all of its VMs of each placement, and a small one that does not', () => {
	assert.deepEqual(digestIntervals({ownZone: 1, otherZones: 6}, 200), {
		ownZoneMs: 200,
		otherZonesMs: 200,
	});
	const large = digestIntervals({ownZone: 18, otherZones: 56}, 200);
	assert.deepEqual(large, {ownZoneMs: 450, otherZonesMs: 2000});
	assert.ok(otherZoneCostMs(75) > otherZoneCostMs(8));
});

test('guards against intervals at which peers count as gone', () => {
	const {ownZoneMs} = digestIntervals({ownZone: 299, otherZones: 0}, 200);
	assert.ok(ownZoneMs <= 2000);
});
