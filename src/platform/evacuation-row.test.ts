import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decodeEvacuationKey} from './evacuation-row.js';

test('takes no other row of the operator for the evacuation of a zone', () => {
	assert.equal(decodeEvacuationKey('evacuate/zone-1'), 'zone-1');
	for (const key of ['config', 'evacuate', 'evacuate/', 'x/evacuate/zone-1']) {
		assert.equal(decodeEvacuationKey(key), undefined);
	}
});
