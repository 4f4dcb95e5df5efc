import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {SeededRandomSource, storeRevision} from '../../common/index.js';
import {
	createConfigurationState,
	createTargetDirectory,
} from '../../decisions/serving/index.js';
import {createEvacuatedZones} from '../../decisions/target-eligibility/index.js';
import {
	FakeRowStore,
	FakeStoreContent,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createStoreRelay} from './store-relay.js';
import {watchStore} from './store-watch.js';
import {fixtureConfiguration} from './testing/index.js';

type LinkOptions = {
	readonly time: VirtualTime;
	readonly content: FakeStoreContent;
	/** Whether the VM reads the store for the others. */
	readonly isReader: boolean;
	readonly isReachable?: boolean;
	/** Delivers a datagram to the other VM; false loses it. */
	readonly send?: (text: string) => void;
};

/** Starts the store side of a VM. */
function startVm({
	time,
	content,
	isReader,
	isReachable = true,
	send,
}: LinkOptions) {
	const store = new FakeRowStore(content, time);
	store.isReachable = isReachable;
	const evacuatedZones = createEvacuatedZones();
	const configuration = createConfigurationState();
	const watch = watchStore({
		store,
		clock: time,
		timers: time,
		random: new SeededRandomSource(1),
		waitMs: () => 1000,
		maxAgeMs: () => 3000,
		isStoreReader: () => isReader,
		haveReadersLostStore: () => false,
		onStoreLost() {
			// The other VM is not told.
		},
		onTargetRows(changes) {
			relay.broadcastRows(changes);
		},
		onEvacuationsChange(list) {
			relay.broadcastEvacuations(list);
		},
		onConfigurationChange(change) {
			if (change) {
				relay.broadcastConfiguration(change);
			}
		},
		onTableRead() {
			// Irrelevant here.
		},
		configuration,
		evacuatedZones,
		directory: createTargetDirectory({
			clock: time,
			lapseGraceMs: 2000,
			unreachableMs: 1000,
			lingerMs: 1000,
		}),
		logger: createLogger('test', 'error'),
	});
	const relay = createStoreRelay({
		sendToAll(text) {
			send?.(text);
		},
		onPeerRows(changes) {
			watch.applyPeerRows(changes);
		},
		onPeerConfiguration(change) {
			watch.applyPeerConfiguration(change);
		},
		onPeerEvacuations(list) {
			watch.applyPeerEvacuations(list);
		},
	});
	return {store, watch, relay, evacuatedZones, configuration};
}

/** Starts a VM that reads the store, and one that gets its datagrams unless `isLost` says otherwise. */
async function startPair(isLost: (text: string) => boolean = () => false) {
	const time = new VirtualTime();
	const content = new FakeStoreContent();
	content.put('op', 'config', fixtureConfiguration(3));
	const follower = startVm({time, content, isReader: false});
	const reader = startVm({
		time,
		content,
		isReader: true,
		send(text) {
			if (!isLost(text)) {
				follower.relay.handle(JSON.parse(text));
			}
		},
	});
	await time.runUntil(500);
	return {time, content, reader, follower};
}

test('an evacuation reaches a VM that cannot read the store, and ends there only with its removal', async () => {
	const {time, content, follower} = await startPair();
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
	const {time, content, follower} = await startPair((text) =>
		text.startsWith('{"evacuations"'),
	);
	follower.store.isReachable = false;
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	assert.equal(follower.watch.configurationSync.revision.version, 2);
	assert.deepEqual(follower.evacuatedZones.zones, ['zone-2']);
});

test('a configuration relayed by a VM that does not read evacuations makes its receiver read the table', async () => {
	const {time, content, follower} = await startPair(() => true);
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
	const {time, content, reader} = await startPair();
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
	const {time, content, reader} = await startPair();
	content.put('op', 'evacuate/zone-2', {});
	await time.runUntil(700);
	const started = startVm({
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
	const {time, content, follower} = await startPair(() => true);
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
