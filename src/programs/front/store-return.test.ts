import assert from 'node:assert/strict';
import {test} from 'node:test';
import {targetRow} from '../../platform/testing/index.js';
import {
	fixtureConfiguration,
	startStorePair,
	startStoreSide,
} from './testing/index.js';

const usable = ({directory}: ReturnType<typeof startStoreSide>) =>
	directory.usable('desk').map(({entry}) => entry.id);

/**
 * Starts two VMs, and returns the store to a copy that is older than version 8 of the configuration, the
 * evacuation of zone-2 and the departure of `t1`.
 */
async function startRestored(isFollowerCutOff = false) {
	const pair = await startStorePair();
	const {time, content, follower} = pair;
	content.put('servers', 't1', targetRow('desk', '10.0.1.1:80'));
	content.put('servers', 't2', targetRow('desk', '10.0.1.2:80'));
	content.put('op', 'config', fixtureConfiguration(5));
	await time.runUntil(1000);
	const copy = content.copy();
	content.put('op', 'config', fixtureConfiguration(8));
	content.put('op', 'evacuate/zone-2', {});
	content.put('servers', 't1', targetRow('desk', '10.0.1.1:80', 'draining'));
	await time.runUntil(2000);
	follower.store.isReachable = !isFollowerCutOff;
	content.restore(copy);
	return pair;
}

/** Lets the reader send its beacons for a while. */
async function runWithBeacons(
	{time, reader}: Awaited<ReturnType<typeof startStorePair>>,
	untilMs: number,
	receivers: ReadonlyArray<ReturnType<typeof startStoreSide>>,
) {
	while (time.nowMs() < untilMs) {
		for (const receiver of receivers) {
			receiver.handleBeacon(reader.tableStates());
		}

		await time.runUntil(Math.min(untilMs, time.nowMs() + 250));
	}
}

test('the return of the store from an older copy undoes no configuration, no evacuation and no departure', async () => {
	const pair = await startRestored();
	const {reader, follower, content} = pair;
	await runWithBeacons(pair, 5000, [follower]);
	for (const vm of [reader, follower]) {
		assert.equal(vm.watch.configurationSync.revision.era, 1);
		assert.equal(vm.watch.targetsSync.revision.era, 1);
		assert.equal(vm.configuration.current?.version, 8);
		assert.match(vm.watch.tables()?.configuration ?? '', /"version":8/);
		assert.deepEqual(vm.evacuatedZones.zones, ['zone-2']);
		assert.deepEqual(usable(vm), ['t2']);
	}

	content.put('op', 'config', fixtureConfiguration(9));
	content.put('servers', 't1', targetRow('desk', '10.0.1.1:80'));
	await runWithBeacons(pair, 14_000, [follower]);
	for (const vm of [reader, follower]) {
		assert.equal(vm.configuration.current?.version, 9);
		assert.deepEqual(vm.evacuatedZones.zones, []);
		assert.deepEqual(usable(vm).sort(), ['t1', 't2']);
	}
});

test('a VM that cannot read the store learns of the newer era from the tables of a peer, and takes the targets for current again', async () => {
	const pair = await startRestored(true);
	const {reader, content, time} = pair;
	// Replaces the follower by a VM that fetches the tables of the reader.
	const cutOff = startStoreSide({
		time,
		content,
		isReader: false,
		isReachable: false,
		peerTables: () => reader.watch.tables(),
	});
	await runWithBeacons(pair, 8000, [cutOff]);
	assert.equal(cutOff.watch.targetsSync.revision.era, 1);
	assert.equal(cutOff.watch.areTargetsCurrent, true);
	assert.equal(cutOff.configuration.current?.version, 8);
	assert.deepEqual(cutOff.evacuatedZones.zones, ['zone-2']);
	assert.deepEqual(usable(cutOff), ['t2']);
});

test('a VM that starts from the older copy is ready only with what a peer knows beyond it', async () => {
	const pair = await startRestored();
	const {reader, content, time} = pair;
	await time.runUntil(3000);
	const started = startStoreSide({
		time,
		content,
		isReader: false,
		peerTables: () => reader.watch.tables(),
	});
	await time.runUntil(3200);
	assert.equal(started.watch.hasTargets, true);
	assert.equal(started.watch.isLoaded, false);
	assert.equal(started.watch.tables(), undefined);
	await runWithBeacons(pair, 4000, [started]);
	assert.equal(started.watch.isLoaded, true);
	assert.equal(started.configuration.current?.version, 8);
	assert.deepEqual(started.evacuatedZones.zones, ['zone-2']);
	assert.deepEqual(usable(started), ['t2']);
});

test('a VM that starts from an older copy and finds no peer is ready after 2 s', async () => {
	const {content, time} = await startRestored();
	const started = startStoreSide({time, content, isReader: false});
	await time.runUntil(time.nowMs() + 1900);
	assert.equal(started.watch.isLoaded, false);
	await time.runUntil(time.nowMs() + 200);
	assert.equal(started.watch.isLoaded, true);
});

test('a VM without the newest version of the configuration, which the store lacks, asks a peer that has it in force', async () => {
	const pair = await startRestored();
	const {reader, content, time} = pair;
	await time.runUntil(3000);
	let fetchCount = 0;
	const started = startStoreSide({
		time,
		content,
		isReader: false,
		peerTables() {
			fetchCount++;
			return reader.watch.tables();
		},
	});
	// No beacon arrives before the VM is ready by itself.
	await time.runUntil(6000);
	assert.equal(started.configuration.current?.version, 5);
	await runWithBeacons(pair, 12_000, [started]);
	assert.equal(started.configuration.current?.version, 8);
	assert.equal(fetchCount, 1);
});

test('a table that is already known in the newer era is not read as a whole with each beacon while the other one is not', async () => {
	const {reader, follower, content, time} = await startRestored();
	await time.runUntil(4000);
	// The reader has found the newer era by itself in both tables.
	let snapshotCount = 0;
	const {snapshot} = follower.store;
	follower.store.snapshot = async (table) => {
		snapshotCount += table === 'op' ? 1 : 0;
		if (table === 'servers') {
			throw new Error('this table cannot be read');
		}

		return snapshot.call(follower.store, table);
	};

	for (let count = 0; count < 20; count++) {
		follower.handleBeacon(reader.tableStates());
		await time.runUntil(time.nowMs() + 250);
	}

	assert.equal(follower.watch.configurationSync.revision.era, 1);
	assert.equal(follower.watch.targetsSync.revision.era, 0);
	assert.equal(snapshotCount, 1);
	assert.equal(content.snapshot('op').revision.era, 1);
});
