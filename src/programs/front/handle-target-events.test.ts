import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLogger} from '../../adapters/system/index.js';
import {storeRevision} from '../../common/index.js';
import {createOutlierDetector} from '../../decisions/retries/index.js';
import {createTargetDirectory} from '../../decisions/serving/index.js';
import {createEvacuatedZones} from '../../decisions/target-eligibility/index.js';
import {createTargetStatements} from '../../decisions/target-statements/index.js';
import {
	fakeTargetEntry,
	FakeTargetClient,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {handleTargetEvents} from './handle-target-events.js';

test('the streams of all targets of a zone learn that its evacuation begins, since their runs need copies', () => {
	const clock = new VirtualTime();
	const directory = createTargetDirectory({
		clock,
		lapseGraceMs: 2000,
		unreachableMs: 1000,
		lingerMs: 30_000,
	});
	for (const [id, availabilityZone] of [
		['e1', 'zone-1'],
		['e2', 'zone-2'],
		['e3', 'zone-1'],
	]) {
		directory.set(
			id,
			fakeTargetEntry(id, {availabilityZone}),
			storeRevision(1),
		);
	}

	const evacuatedZones = createEvacuatedZones();
	const unusable: string[] = [];
	const capacitiesRead: string[] = [];
	const returnedZones: string[] = [];
	handleTargetEvents({
		directory,
		targetClient: new FakeTargetClient(),
		detector: createOutlierDetector({
			clock,
			maxFailures: 3,
			slowFactor: 5,
			slowMinMs: 20,
			ejectionMs: 2000,
			maxEjectionMs: 30_000,
			maxEjectedFraction: 0.5,
			onEjected() {
				// No target fails in this test.
			},
		}),
		capacityReader: {
			readIfMissing({id}) {
				capacitiesRead.push(id);
			},
			dispose: () => undefined,
		},
		statements: createTargetStatements({clock, lastResortMs: () => 1000}),
		evacuatedZones,
		coldTargets: {
			recordRefusal: () => undefined,
			recordZoneReturn(zone) {
				returnedZones.push(zone);
			},
		},
		crashObserver: {engineGone: () => undefined},
		requests: {
			targetUnusable(id) {
				unusable.push(id);
			},
		},
		logger: createLogger('test', 'error', 65_536),
	});
	evacuatedZones.replace(['zone-1']);
	assert.deepEqual([unusable, capacitiesRead], [['e1', 'e3'], []]);
	assert.deepEqual(returnedZones, []);
	evacuatedZones.replace([]);
	assert.deepEqual([unusable.length, capacitiesRead], [2, ['e1', 'e3']]);
	assert.deepEqual(returnedZones, ['zone-1']);
});
