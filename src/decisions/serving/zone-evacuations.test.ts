import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type StoreRevision, storeRevision} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createEvacuatedZones} from '../target-eligibility/index.js';
import {createZoneEvacuations} from './zone-evacuations.js';

function create() {
	const time = new VirtualTime();
	const evacuatedZones = createEvacuatedZones();
	const changes: string[] = [];
	evacuatedZones.onChanged(({availabilityZone, change}) => {
		changes.push(`${availabilityZone} ${change}`);
	});
	return {
		time,
		evacuatedZones,
		changes,
		evacuations: createZoneEvacuations({clock: time, evacuatedZones}),
	};
}

const list = (revision: StoreRevision, ...zones: readonly string[]) => ({
	revision,
	zones,
	held: [],
	removed: [],
});
const change = (
	availabilityZone: string,
	isEvacuated: boolean,
	revision: StoreRevision,
) => ({availabilityZone, isEvacuated, revision});

test('an older list that a peer relays late does not end an evacuation', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	evacuations.applyList(list(storeRevision(7)));
	assert.deepEqual(evacuatedZones.zones, ['zone-1']);
	evacuations.applyList(list(storeRevision(9)));
	assert.deepEqual(evacuatedZones.zones, []);
});

test('a change that the relayed list already includes does not undo a later one', () => {
	const {evacuations, changes} = create();
	evacuations.applyList(list(storeRevision(5)));
	// Removed at version 7 and requested again at version 8, as a peer has read before this VM.
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	evacuations.applyChanges(
		[
			change('zone-1', false, storeRevision(7)),
			change('zone-2', true, storeRevision(9)),
		],
		storeRevision(9),
	);
	assert.deepEqual(changes, ['zone-1 begins', 'zone-2 begins']);
});

test('a read that is older than the relayed list changes nothing', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	evacuations.applyChanges(
		[change('zone-1', false, storeRevision(7))],
		storeRevision(7),
	);
	assert.deepEqual(evacuatedZones.zones, ['zone-1']);
	assert.deepEqual(evacuations.list?.revision, storeRevision(8));
});

test('an older copy of the store that lacks an evacuation does not end it within 10 s', async () => {
	const {time, evacuations, evacuatedZones} = create();
	evacuations.applyList(list(storeRevision(8), 'zone-1', 'zone-2'));
	evacuations.applyList(list(storeRevision(6, 1), 'zone-2'));
	// A second read of the table in this era lacks it too.
	evacuations.applyList(list(storeRevision(7, 1), 'zone-2'));
	await time.runUntil(9900);
	evacuations.expire();
	assert.deepEqual(evacuatedZones.zones, ['zone-1', 'zone-2']);
	assert.equal(evacuations.expiryMs, 10_000);
	await time.runUntil(10_000);
	evacuations.expire();
	assert.deepEqual(evacuatedZones.zones, ['zone-2']);
	assert.equal(evacuations.expiryMs, Infinity);
});

test('the operator can end an evacuation at once after the return from an older copy, and begin it again', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	evacuations.applyList(list(storeRevision(6, 1)));
	evacuations.applyChanges(
		[change('zone-1', false, storeRevision(7, 1))],
		storeRevision(7, 1),
	);
	assert.deepEqual(evacuatedZones.zones, []);
	// A peer that has not read the removal does not bring the evacuation back.
	evacuations.applyList({...list(storeRevision(6, 1)), held: ['zone-1']});
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	assert.deepEqual(evacuatedZones.zones, []);
	evacuations.applyChanges(
		[change('zone-1', true, storeRevision(8, 1))],
		storeRevision(8, 1),
	);
	assert.deepEqual(evacuatedZones.zones, ['zone-1']);
});

test('a removal that only a peer has read ends the held evacuation', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList(list(storeRevision(8), 'zone-1'));
	evacuations.applyList(list(storeRevision(6, 1)));
	evacuations.applyList({...list(storeRevision(7, 1)), removed: ['zone-1']});
	assert.deepEqual(evacuatedZones.zones, []);
});

for (const known of [
	{...list(storeRevision(6, 1)), held: ['zone-1']},
	list(storeRevision(8), 'zone-1'),
]) {
	test(`a VM that starts from the older copy learns from a peer in era ${known.revision.era} what the copy lacks`, async () => {
		const {time, evacuations, evacuatedZones} = create();
		evacuations.applyList(list(storeRevision(7, 1)));
		evacuations.applyList(known);
		assert.deepEqual(evacuatedZones.zones, ['zone-1']);
		await time.runUntil(10_000);
		evacuations.expire();
		assert.deepEqual(evacuatedZones.zones, []);
	});
}
