import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	fakeResponseHead,
	fakeTargetEntry,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {
	closedRefusal,
	createTargetStatements,
} from '../target-statements/index.js';
import {createEvacuatedZones} from './evacuated-zones.js';
import {createTargetEligibility} from './target-eligibility.js';

const here = fakeTargetEntry('t1');
const elsewhere = fakeTargetEntry('t2', {availabilityZone: 'zone-2'});

function createEligibility() {
	const time = new VirtualTime();
	const statements = createTargetStatements({
		clock: time,
		lastResortMs: () => 1000,
	});
	const evacuatedZones = createEvacuatedZones();
	const coldLimits = new Map<string, number>();
	const eligibility = createTargetEligibility({
		statements,
		evacuatedZones,
		coldTargets: {limitOf: (targetId) => coldLimits.get(targetId)},
		regions: new Map([
			['zone-1', 'region-1'],
			['zone-2', 'region-2'],
		]),
	});
	const refusalReason = () =>
		closedRefusal(
			[here, elsewhere].map((target) => eligibility.standingOf(target)),
			new SeededRandomSource(1),
		)?.reason;
	return {
		time,
		statements,
		evacuatedZones,
		coldLimits,
		eligibility,
		refusalReason,
	};
}

suite('target eligibility', () => {
	test('a target in an evacuated zone gets nothing until the evacuation ends, others are used', () => {
		const {evacuatedZones, eligibility} = createEligibility();
		evacuatedZones.replace(['zone-1']);
		assert.deepEqual(eligibility.standingOf(here), {
			use: 'none',
			cause: 'evacuated',
			waitMs: Infinity,
			requestsPerSecond: undefined,
		});
		assert.equal(eligibility.standingOf(elsewhere).use, 'normal');
		evacuatedZones.replace([]);
		assert.equal(eligibility.standingOf(here).use, 'normal');
	});

	test('a leaving target in an evacuated zone is not even the last resort', () => {
		const {statements, evacuatedZones, eligibility} = createEligibility();
		const leaving = fakeResponseHead('q1', {leaving: {state: 'leaving'}});
		statements.recordResponse(here, leaving, 0);
		assert.equal(eligibility.standingOf(here).use, 'last-resort');
		evacuatedZones.replace(['zone-1']);
		assert.equal(eligibility.standingOf(here).use, 'none');
	});

	test('a service is refused with the reason that excludes all of its targets', async () => {
		const {time, statements, evacuatedZones, refusalReason} =
			createEligibility();
		evacuatedZones.replace(['zone-1']);
		assert.equal(refusalReason(), undefined);
		evacuatedZones.replace(['zone-1', 'zone-2']);
		assert.equal(refusalReason(), 'all targets are evacuated');
		evacuatedZones.replace(['zone-1']);
		statements.recordLeavingReport(elsewhere);
		await time.runUntil(2000);
		assert.equal(refusalReason(), 'all targets are evacuated or leave');
		evacuatedZones.replace([]);
		statements.recordLeavingReport(here);
		await time.runUntil(4000);
		assert.equal(refusalReason(), 'all targets leave');
	});

	test('the lower of the limit that a target states and that of a cold target holds', async () => {
		const {time, statements, coldLimits, eligibility} = createEligibility();
		const limits = () => [
			eligibility.limitOf('t1'),
			eligibility.standingOf(here).requestsPerSecond,
			eligibility.isOnlyCold('t1'),
		];
		assert.deepEqual(limits(), [undefined, undefined, false]);
		coldLimits.set('t1', 28);
		assert.deepEqual(limits(), [28, 28, true]);
		await time.runUntil(10);
		const stated = (requestsPerSecond: number) =>
			fakeResponseHead('q1', {
				rateLimit: {state: 'limited', requestsPerSecond},
			});
		statements.recordResponse(here, stated(4), 5);
		assert.deepEqual(limits(), [4, 4, false]);
		await time.runUntil(20);
		statements.recordResponse(here, stated(40), 15);
		assert.deepEqual(limits(), [28, 28, false]);
		coldLimits.clear();
		assert.deepEqual(limits(), [40, 40, false]);
	});

	test('a restricted request goes only to zones whose region is known and allowed', () => {
		const {eligibility} = createEligibility();
		const unknown = fakeTargetEntry('t3', {availabilityZone: 'zone-3'});
		const usable = (allowedRegions: ReadonlySet<string> | undefined) =>
			[here, elsewhere, unknown]
				.filter((target) =>
					eligibility.isInAllowedRegion(target, allowedRegions),
				)
				.map(({id}) => id);
		assert.deepEqual(usable(undefined), ['t1', 't2', 't3']);
		assert.deepEqual(usable(new Set(['region-2', 'region-9'])), ['t2']);
		assert.deepEqual(usable(new Set()), []);
	});
});
