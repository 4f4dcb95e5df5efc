import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEvacuatedZones} from '../target-eligibility/index.js';
import {createZoneEvacuations} from './zone-evacuations.js';

function create() {
	const evacuatedZones = createEvacuatedZones();
	const changes: string[] = [];
	evacuatedZones.onChanged(({availabilityZone, change}) => {
		changes.push(`${availabilityZone} ${change}`);
	});
	return {
		evacuatedZones,
		changes,
		evacuations: createZoneEvacuations(evacuatedZones),
	};
}

const change = (
	availabilityZone: string,
	isEvacuated: boolean,
	version: number,
) => ({availabilityZone, isEvacuated, version});

test('an older list that a peer relays late does not end an evacuation', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList({zones: ['zone-1'], version: 8});
	evacuations.applyList({zones: [], version: 7});
	assert.deepEqual(evacuatedZones.zones, ['zone-1']);
	evacuations.applyList({zones: [], version: 9});
	assert.deepEqual(evacuatedZones.zones, []);
});

test('a change that the relayed list already includes does not undo a later one', () => {
	const {evacuations, changes} = create();
	evacuations.applyList({zones: [], version: 5});
	// Removed at version 7 and requested again at version 8, as a peer has read before this VM.
	evacuations.applyList({zones: ['zone-1'], version: 8});
	evacuations.applyChanges(
		[change('zone-1', false, 7), change('zone-2', true, 9)],
		9,
	);
	assert.deepEqual(changes, ['zone-1 begins', 'zone-2 begins']);
});

test('a read that is older than the relayed list changes nothing', () => {
	const {evacuations, evacuatedZones} = create();
	evacuations.applyList({zones: ['zone-1'], version: 8});
	evacuations.applyChanges([change('zone-1', false, 7)], 7);
	assert.deepEqual(evacuatedZones.zones, ['zone-1']);
	assert.equal(evacuations.list?.version, 8);
});
