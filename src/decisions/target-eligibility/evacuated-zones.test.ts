import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {createEvacuatedZones} from './evacuated-zones.js';

suite('evacuated zones', () => {
	test('reports each zone that is added or removed once, with the new set in force', () => {
		const evacuated = createEvacuatedZones();
		const seen: string[] = [];
		evacuated.onChanged(({availabilityZone, change}) => {
			seen.push(`${availabilityZone} ${change} ${evacuated.zones.join('+')}`);
		});
		evacuated.replace(['zone-2', 'zone-1']);
		evacuated.replace(['zone-2']);
		evacuated.replace(['zone-2']);
		assert.deepEqual(seen, [
			'zone-2 begins zone-1+zone-2',
			'zone-1 begins zone-1+zone-2',
			'zone-1 ends zone-2',
		]);
		assert.equal(evacuated.isEvacuated('zone-1'), false);
		assert.equal(evacuated.isEvacuated('zone-2'), true);
	});
});
