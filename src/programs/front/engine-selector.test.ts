import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {
	createDisposableStore,
	SeededRandomSource,
	storeRevision,
} from '../../common/index.js';
import type {PlacementDecisionListener} from '../../decisions/fleet/index.js';
import {createOutlierDetector} from '../../decisions/retries/index.js';
import {createLengthStatistics} from '../../decisions/routing/index.js';
import type {
	PlacementDecision,
	PlacementRequest,
} from '../../decisions/scheduling/index.js';
import {
	createServiceStandings,
	createTargetDirectory,
} from '../../decisions/serving/index.js';
import {
	createEvacuatedZones,
	createTargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import {createTargetStatements} from '../../decisions/target-statements/index.js';
import {
	fakeAdmittedRequest,
	fakeTargetEntry,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createEngineSelector} from './engine-selector.js';

const entries = ['1', '2', '3'].map((number) =>
	fakeTargetEntry(`e${number}`, {availabilityZone: `zone-${number}`}),
);
const generation = fakeAdmittedRequest({kind: 'stream', timeoutMs: 39_000});

const placedAt = (
	targetId: string,
	copyTargetId?: string,
): PlacementDecision => ({
	outcome: 'placed',
	placement: {
		targetId,
		copyTargetId,
		firstTokenMs: 200,
		memoryFraction: 0.5,
		isLate: false,
	},
});

/** Creates a selector with one engine in each of three zones; the test decides on its requests. */
function createSelector() {
	const time = new VirtualTime();
	const random = new SeededRandomSource(2);
	const directory = createTargetDirectory({
		clock: time,
		lapseGraceMs: 2000,
		unreachableMs: 1000,
		lingerMs: 30_000,
	});
	for (const entry of entries) {
		directory.set(entry.id, entry, storeRevision(1));
	}

	const statements = createTargetStatements({
		clock: time,
		lastResortMs: () => 1000,
	});
	const evacuatedZones = createEvacuatedZones();
	const eligibility = createTargetEligibility({
		statements,
		evacuatedZones,
		coldTargets: {limitOf: () => undefined},
		regions: new Map([
			['zone-1', 'region-1'],
			['zone-2', 'region-2'],
		]),
	});
	const asked: Array<{
		request: PlacementRequest;
		listener: PlacementDecisionListener;
	}> = [];
	const selector = createEngineSelector({
		availabilityZone: 'zone-1',
		clock: time,
		directory,
		detector: createOutlierDetector({
			clock: time,
			maxFailures: 3,
			slowFactor: 5,
			slowMinMs: 20,
			ejectionMs: 2000,
			maxEjectionMs: 30_000,
			maxEjectedFraction: 0.5,
			onEjected() {
				// No engine fails in these tests.
			},
		}),
		statements,
		eligibility,
		standings: createServiceStandings({directory, eligibility, random}),
		statistics: createLengthStatistics(),
		placementClient: () => ({
			request(request, listener) {
				asked.push({request, listener});
				return createDisposableStore();
			},
			handleRemoteDecision() {
				// The test decides itself.
			},
			handleLocalDecision() {
				// The test decides itself.
			},
		}),
		permitClient: () => ({turnsOf: () => undefined}),
		runReporter() {
			throw new Error('no run is started');
		},
	});
	const outcomes: string[] = [];
	const placeRun = (allowedRegions?: ReadonlySet<string>) =>
		selector.placeRun({...generation, allowedRegions}, new Set(), {
			onPlaced({target, backup}) {
				outcomes.push(`${target.id} ${backup?.id}`);
			},
			onRefused(reason) {
				outcomes.push(reason);
			},
		});
	const decide = (decision: PlacementDecision) => {
		asked.at(-1)?.listener.onDecision(decision, 'vm-1');
	};

	/** Requests a copy of a run at an engine. */
	const placeCopy = async (targetIndex: number) =>
		selector.placeCopy(
			{
				placementId: 'q1.1',
				admitted: generation,
				target: entries[targetIndex],
				backup: undefined,
				eventCount: 3,
			},
			new Set(),
		);
	return {
		selector,
		statements,
		evacuatedZones,
		asked,
		outcomes,
		placeRun,
		placeCopy,
		decide,
	};
}

suite('engine selector and evacuated zones', () => {
	test('the list of engines for placements leaves out evacuated zones, so that what waits is decided on the others', () => {
		const {selector, evacuatedZones} = createSelector();
		evacuatedZones.replace(['zone-2']);
		const ids = selector.engines('desk').map(({targetId}) => targetId);
		assert.deepEqual(ids, ['e1', 'e3']);
	});

	test('a placement from a coordinator that does not know of the evacuation yet is asked for again', () => {
		const {evacuatedZones, asked, outcomes, placeRun, decide} =
			createSelector();
		placeRun();
		evacuatedZones.replace(['zone-1']);
		decide(placedAt('e1'));
		assert.deepEqual(outcomes, []);
		assert.deepEqual(asked[1].request.excludedTargetIds, ['e1']);
		decide(placedAt('e2', 'e1'));
		assert.deepEqual(outcomes, ['e2 undefined']);
	});

	test('a generation is refused at once when all engines are evacuated while it waits', () => {
		const {evacuatedZones, asked, outcomes, placeRun, decide} =
			createSelector();
		placeRun();
		evacuatedZones.replace(['zone-1', 'zone-2', 'zone-3']);
		decide(placedAt('e1'));
		assert.deepEqual(outcomes, ['all targets are evacuated']);
		assert.equal(asked.length, 1);
	});

	test('a copy of a run in an evacuated zone is a precaution, unless its engine leaves', async () => {
		const {evacuatedZones, statements, asked, placeCopy, decide} =
			createSelector();
		evacuatedZones.replace(['zone-1']);
		const copy = placeCopy(0);
		assert.equal(asked[0].request.isPrecaution, true);
		decide(placedAt('e1'));
		assert.equal(await copy, undefined);
		statements.recordLeavingReport(entries[0]);
		const second = placeCopy(0);
		assert.equal(asked[1].request.isPrecaution, false);
		decide(placedAt('e2'));
		const holder = await second;
		assert.equal(holder?.id, 'e2');
	});
});

suite('engine selector and allowed regions', () => {
	test('a generation is placed only in its allowed regions, by the request to the coordinator and by a check of its decision', () => {
		const {asked, outcomes, placeRun, decide} = createSelector();
		placeRun(new Set(['region-2']));
		assert.deepEqual(asked[0].request.excludedTargetIds, ['e1', 'e3']);
		decide(placedAt('e1'));
		assert.deepEqual(outcomes, []);
		decide(placedAt('e2', 'e1'));
		assert.deepEqual(outcomes, ['e2 undefined']);
	});

	test('a generation without an engine in its allowed regions is refused at once', () => {
		const {selector} = createSelector();
		const refusal = (...regions: string[]) =>
			selector.closedRefusal('desk', new Set(regions))?.reason;
		assert.equal(refusal('region-9'), 'no target is in an allowed region');
		assert.equal(refusal('region-2', 'region-9'), undefined);
	});
});
