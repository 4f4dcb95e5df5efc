import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource, type TargetEntry} from '../../common/index.js';
import {fakeTargetEntry, VirtualTime} from '../../experiments/fakes/index.js';
import {createZoneCalls} from './zone-calls.js';

const own = fakeTargetEntry('t1', {availabilityZone: 'zone-1'});
const other = fakeTargetEntry('t2', {availabilityZone: 'zone-2'});

async function start(
	targets: readonly TargetEntry[],
	excluded: readonly string[] = [],
) {
	const time = new VirtualTime();
	const zoneCalls = createZoneCalls({
		availabilityZone: 'zone-1',
		clock: time,
		random: new SeededRandomSource(8),
		standings: {withUse: () => targets},
		detector: {excluded: () => new Set(excluded)},
	});
	const candidates = targets.map((target) => ({
		targetId: target.id,
		availabilityZone: target.availabilityZone,
		slotCount: 1,
		openCount: 0,
		isSuspect: excluded.includes(target.id),
		isAvoided: false,
	}));
	const recordDemand = (callsPerSecond: number) => {
		zoneCalls.spillover.recordDemand({
			service: own.service,
			zones: new Map([['zone-1', callsPerSecond]]),
			serviceMs: 100,
		});
	};

	await time.runUntil(1);
	const draw = () => zoneCalls.drawZone(own.service, candidates);
	return {time, zoneCalls, recordDemand, draw};
}

test('a call is not drawn for its own zone while the only target there fails', async () => {
	const {recordDemand, draw} = await start([own, other], ['t1']);
	recordDemand(1);
	for (let index = 0; index < 20; index++) {
		assert.equal(draw(), 'zone-2');
	}
});

test('targets that all fail are used as if none did, rather than none', async () => {
	const {recordDemand, draw} = await start([own, other], ['t1', 't2']);
	recordDemand(1);
	assert.equal(draw(), 'zone-1');
});

test('the log names why a call leaves its zone', async () => {
	const {time, zoneCalls, recordDemand, draw} = await start([own, other]);
	assert.equal(zoneCalls.leavingReason(own), undefined);
	assert.equal(
		zoneCalls.leavingReason(other),
		'targets in the own zone are busy or were tried',
	);
	recordDemand(14);
	await time.runUntil(1000);
	draw();
	assert.equal(zoneCalls.leavingReason(other), 'the own zone has no room');
	const failing = await start([own, other], ['t1']);
	assert.equal(
		failing.zoneCalls.leavingReason(other),
		'no usable target in the own zone',
	);
});
