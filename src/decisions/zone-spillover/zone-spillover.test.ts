import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createDemandSums} from './demand-sums.js';
import {createCallMeter} from './call-meter.js';
import type {UsableTarget} from './types.js';
import {zoneShares} from './zone-shares.js';
import {createZoneSpillover} from './zone-spillover.js';

/** Serves 100 calls per second with all slots in use. */
const targetIn = (availabilityZone: string): UsableTarget => ({
	availabilityZone,
	slotCount: 5,
	serviceMs: 50,
});
const zones = ['a', 'b', 'c'];
const targets = zones.map((zone) => targetIn(zone));
const demandOf = (a: number, b: number, c: number) =>
	new Map([
		['a', a],
		['b', b],
		['c', c],
	]);

suite('shares of zones', () => {
	test('nothing leaves a zone that has room, also while others are over', () => {
		const shares = zoneShares('a', demandOf(70, 120, 10), targets);
		assert.equal(shares.get('a'), 1);
	});

	test('only the excess leaves, in proportion to the room elsewhere', () => {
		const shares = zoneShares('a', demandOf(100, 10, 50), targets);
		assert.ok(Math.abs((shares.get('a') ?? 0) - 0.7) < 1e-9);
		assert.ok(Math.abs((shares.get('b') ?? 0) - 0.225) < 1e-9);
		assert.ok(Math.abs((shares.get('c') ?? 0) - 0.075) < 1e-9);
	});

	test('all calls leave a zone without a usable target, also while no other has room', () => {
		const others = [targetIn('b'), targetIn('c')];
		const shares = zoneShares('a', demandOf(0, 100, 100), others);
		assert.equal(shares.get('a'), undefined);
		assert.equal(shares.get('b'), 0.5);
		assert.equal(zoneShares('a', demandOf(1, 1, 1), []).size, 0);
	});

	test('no zone is filled above 0.7 by others unless all are above it', () => {
		const random = new SeededRandomSource(3);
		for (let round = 0; round < 1000; round++) {
			const demand = new Map(
				zones.map((zone) => [zone, random.nextUnit() * 150]),
			);
			const arriving = new Map<string, number>();
			for (const [zone, calls] of demand) {
				for (const [to, share] of zoneShares(zone, demand, targets)) {
					arriving.set(to, (arriving.get(to) ?? 0) + share * calls);
				}
			}

			let total = 0;
			for (const calls of demand.values()) {
				total += calls;
			}

			const level = Math.max(70, total / 3);
			for (const calls of arriving.values()) {
				assert.ok(calls <= level + 1e-6, `${calls} calls above ${level}`);
			}
		}
	});
});

suite('zone spillover', () => {
	const start = async () => {
		const time = new VirtualTime();
		const random = new SeededRandomSource(5);
		const spillover = createZoneSpillover({ownZone: 'a', clock: time, random});
		await time.runUntil(1);
		const recordDemand = (a: number, b: number, c: number) => {
			const zones = demandOf(a, b, c);
			spillover.recordDemand({service: 'desk', zones, serviceMs: 50});
		};

		const leavingShare = () => {
			let leaving = 0;
			for (let index = 0; index < 2000; index++) {
				leaving += spillover.draw('desk', targets) === 'a' ? 0 : 1;
			}

			return leaving / 2000;
		};

		return {time, spillover, recordDemand, leavingShare};
	};

	const assertNear = (actual: number, expected: number) => {
		assert.ok(Math.abs(actual - expected) < 0.04, `${actual}, not ${expected}`);
	};

	test('a jump of the demand does not move more than half of the calls within a second', async () => {
		const {time, recordDemand, leavingShare} = await start();
		recordDemand(200, 0, 0);
		await time.runUntil(501);
		assertNear(leavingShare(), 0.25);
		await time.runUntil(1001);
		assertNear(leavingShare(), 0.5);
		await time.runUntil(2001);
		assertNear(leavingShare(), 0.65);
	});

	test('figures older than 3 s move half of the excess, and those older than 6 s none', async () => {
		const {time, spillover, recordDemand, leavingShare} = await start();
		recordDemand(140, 0, 0);
		await time.runUntil(2900);
		assertNear(leavingShare(), 0.5);
		await time.runUntil(5000);
		assertNear(leavingShare(), 0.25);
		await time.runUntil(6100);
		assert.equal(spillover.draw('desk', targets), undefined);
	});

	test('no call is drawn for a zone whose last target has gone since', async () => {
		const {time, spillover, recordDemand} = await start();
		recordDemand(50, 0, 0);
		await time.runUntil(10);
		for (let index = 0; index < 200; index++) {
			assert.notEqual(spillover.draw('desk', targets.slice(1)), 'a');
		}
	});

	test('reports of VMs that fell silent count half, then not at all', async () => {
		const time = new VirtualTime();
		const sums = createDemandSums(time);
		await time.runUntil(1);
		const zoneDemand = () => sums.sums()[0].zones.get('a');
		const record = (vm: string, callsPerSecond: number) => {
			sums.record(vm, 'a', [{service: 'desk', callsPerSecond, serviceMs: 50}]);
		};

		record('vm-1', 8);
		await time.runUntil(3500);
		record('vm-2', 2);
		assert.equal(zoneDemand(), 6);
		await time.runUntil(6500);
		assert.equal(zoneDemand(), 2);
	});

	test('waits at the full targets of one zone do not count as service time', async () => {
		const sums = createDemandSums(new VirtualTime());
		for (const [index, serviceMs] of [500, 52, 50, 51, 480, 53].entries()) {
			const call = {service: 'desk', callsPerSecond: 1, serviceMs};
			sums.record(`vm-${index}`, 'a', [call]);
		}

		assert.equal(sums.sums()[0].serviceMs, 51);
	});

	test('a second without calls is reported, so that the demand falls', async () => {
		const time = new VirtualTime();
		const meter = createCallMeter(time);
		meter.recordCall('desk');
		meter.recordAnswer('desk', 40);
		await time.runUntil(500);
		const report = {service: 'desk', callsPerSecond: 2, serviceMs: 40};
		assert.deepEqual(meter.takeReport(), [report]);
		await time.runUntil(1500);
		assert.deepEqual(meter.takeReport(), [{...report, callsPerSecond: 0}]);
	});
});
