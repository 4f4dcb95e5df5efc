import assert from 'node:assert/strict';
import {test} from 'node:test';
import {storeRevision} from '../../common/index.js';
import {startStorePair, startStoreSide} from './testing/index.js';

test('an evacuation reaches a VM that cannot read the store, and ends there only with its removal', async () => {
	const {time, content, follower} = await startStorePair();
	follower.store.isReachable = false;
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
	await time.runUntil(20_000);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
	content.put('op', 'evacuate/zone-2', undefined);
	await time.runUntil(20_200);
	assert.deepEqual(follower.evacuatedZones.zones, []);
});

test('the loss of the datagram with the zones does not leave an evacuation unknown while the version of the table counts as known', async () => {
	const {time, content, follower} = await startStorePair((text) =>
		text.startsWith('{"evacuations"'),
	);
	follower.store.isReachable = false;
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	assert.equal(follower.watch.configurationSync.revision.version, 2);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
});

test('a configuration relayed by a VM that does not read evacuations makes its receiver read the table', async () => {
	const {time, content, follower} = await startStorePair(() => true);
	content.put('op', 'evacuate/zone-2', {});
	follower.watch.applyPeerConfiguration({
		after: storeRevision(1),
		revision: storeRevision(2),
		text: '{}',
		evacuations: undefined,
	});
	assert.equal(follower.watch.configurationSync.revision.version, 1);
	await time.runUntil(800);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
});

test('a store that does not answer ends no evacuation', async () => {
	const {time, content, reader} = await startStorePair();
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	reader.store.isReachable = false;
	content.put('op', 'evacuate/zone-2', undefined);
	await time.runUntil(30_000);
	assert.deepEqual(reader.evacuatedZones.zones, ['zone-2']);
	reader.store.isReachable = true;
	await time.runUntil(33_000);
	assert.deepEqual(reader.evacuatedZones.zones, []);
});

test('a VM that starts without the store knows the evacuated zones before it is ready', async () => {
	const {time, content, reader} = await startStorePair();
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	const started = startStoreSide({
		time,
		content,
		isReader: false,
		isReachable: false,
	});
	await time.runUntil(1500);
	assert.equal(started.watch.isLoaded, false);
	const tables = reader.watch.tables();
	assert.ok(tables);
	started.configuration.onChanged(() => {
		assert.deepEqual(started.evacuatedZones.zones, ['zone-2']);
	});
	started.watch.applyPeerTables(tables);
	await time.runUntil(1600);
	assert.equal(started.watch.isLoaded, true);
});

test('after a pause, requests wait for the operator table too, so that a zone evacuated meanwhile gets none', async () => {
	const {time, content, follower} = await startStorePair(() => true);
	// The targets alone are confirmed after the pause.
	await time.runUntil(1500);
	const resumedMs = 1000;
	follower.watch.targetsSync.recordSnapshot(storeRevision(1));
	assert.ok(follower.watch.confirmedAgeMs > time.nowMs() - resumedMs);
	let confirmations = 0;
	follower.watch.onConfirmed(() => {
		confirmations++;
	});
	content.put('op', 'evacuate/zone-2', {});
	follower.watch.refreshAll();
	await time.runUntil(1700);
	assert.ok(confirmations > 0);
	assert.ok(follower.watch.confirmedAgeMs <= time.nowMs() - resumedMs);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
});
