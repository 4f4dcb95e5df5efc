import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createDisposableStore,
	SeededRandomSource,
	storeRevision,
} from '../../common/index.js';
import {
	fakeResponseHead,
	fakeTargetEntry,
	VirtualTime,
} from '../../experiments/fakes/index.js';
import {createAvoidedTargets} from '../fleet-health/index.js';
import {createOutlierDetector} from '../retries/index.js';
import type {PermitDecision, PermitRequest} from '../rate-limits/index.js';
import {
	type AllowedRegions,
	createEvacuatedZones,
	createTargetEligibility,
} from '../target-eligibility/index.js';
import {createTargetStatements} from '../target-statements/index.js';
import {createCallTargetSearch} from './call-target-search.js';
import type {ServiceCandidate} from './service-placement.js';
import {createServiceStandings} from './service-standings.js';
import {createTargetDirectory} from './target-directory.js';

/** Starts a search among targets; those with a limit name it before the test begins. */
async function start(
	limits: Readonly<Record<string, number | undefined>>,
	decide: (request: PermitRequest) => PermitDecision,
	drawZone?: (candidates: readonly ServiceCandidate[]) => string,
) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(4);
	const directory = createTargetDirectory({
		clock: time,
		lapseGraceMs: 2000,
		unreachableMs: 1000,
		lingerMs: 30_000,
	});
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
	await time.runUntil(1);
	for (const [id, requestsPerSecond] of Object.entries(limits)) {
		directory.set(id, fakeTargetEntry(id), storeRevision(1));
		if (requestsPerSecond !== undefined) {
			const rateLimit = {state: 'limited', requestsPerSecond} as const;
			statements.recordResponse(
				{id, bornMs: undefined},
				fakeResponseHead('q1', {rateLimit}),
				0,
			);
		}
	}

	const permitRequests: PermitRequest[] = [];
	const outcomes: string[] = [];
	const search = createCallTargetSearch({
		availabilityZone: 'zone-1',
		drawZone: (_service, candidates) => drawZone?.(candidates),
		clock: time,
		timers: time,
		random,
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
				// No target fails in these tests.
			},
		}),
		avoidedTargets: createAvoidedTargets(time, random),
		eligibility,
		standings: createServiceStandings({directory, eligibility, random}),
		requestPermit(request, onDecision) {
			permitRequests.push(request);
			onDecision(decide(request), 'vm-1');
			return createDisposableStore();
		},
	});
	const find = (
		maxWaitMs = 100,
		avoid: readonly string[] = [],
		allowedRegions: AllowedRegions = undefined,
	) =>
		search.find(
			{
				service: 'desk',
				allowedRegions,
				avoid: new Set(avoid),
				isIdempotent: false,
				maxWaitMs,
			},
			{
				onFound(target, permit) {
					const waitText = permit ? ` after ${permit.waitMs}` : '';
					outcomes.push(`${target.id}${waitText}`);
				},
				onNone(reason, retryAfterMs) {
					outcomes.push(`${reason}, ${retryAfterMs}`);
				},
				onPermitDenied(targets, waitMs) {
					outcomes.push(`denied ${targets.length} for ${waitMs}`);
				},
			},
		);
	return {
		time,
		directory,
		statements,
		evacuatedZones,
		permitRequests,
		outcomes,
		find,
	};
}

const grant =
	(waitMs: number) =>
	({targets}: PermitRequest): PermitDecision => ({
		outcome: 'granted',
		targetId: targets[0].targetId,
		waitMs,
	});

const deny =
	(waitMs: number, retryAfterMs = waitMs) =>
	(): PermitDecision => ({outcome: 'denied', waitMs, retryAfterMs});

test('asks for no permit while no target has a rate limit', async () => {
	const {find, permitRequests, outcomes} = await start(
		{t1: undefined},
		deny(100),
	);
	find();
	assert.deepEqual([permitRequests.length, outcomes], [0, ['t1']]);
});

test('uses a target without a limit at once when a limited one has no turn', async () => {
	const limits = {t1: 4, t2: undefined};
	const {find, permitRequests, outcomes} = await start(limits, deny(250));
	for (let index = 0; index < 20; index++) {
		find();
	}

	assert.deepEqual(
		permitRequests.map(({maxWaitMs}) => maxWaitMs),
		[0],
	);
	assert.equal(outcomes.filter((outcome) => outcome === 't2').length, 20);
});

test('refuses at once, with the time of the next turn, when every target is limited and has no turn in time', async () => {
	const limits = {t1: 4, t2: 4};
	const {time, find, permitRequests, outcomes} = await start(
		limits,
		deny(400, 700),
	);
	find();
	assert.equal(permitRequests[0].targets.length, 2);
	assert.deepEqual(outcomes, [
		'denied 2 for 400',
		'the targets limit their request rate, 700',
	]);
	find();
	assert.equal(permitRequests.length, 1);
	const [denial, refusal] = outcomes.slice(2);
	assert.equal(denial, 'denied 2 for 400');
	const retryAfterMs = Number(refusal.split(', ')[1]);
	assert.ok(retryAfterMs >= 400 && retryAfterMs <= 800, refusal);
	await time.runUntil(350);
	find();
	assert.equal(permitRequests.length, 2);
});

test('waits for the turn that it was granted', async () => {
	const {time, find, outcomes} = await start({t1: 4}, grant(80));
	find();
	await time.runUntil(80);
	assert.deepEqual(outcomes, []);
	await time.runUntil(82);
	assert.deepEqual(outcomes, ['t1 after 80']);
});

test('a search that was ended does not use its turn', async () => {
	const {time, find, outcomes} = await start({t1: 4}, grant(80));
	find().dispose();
	await time.runUntil(1000);
	assert.deepEqual(outcomes, []);
});

test('looks for another target when the one whose turn it awaited leaves', async () => {
	const limits = {t1: 4, t2: 4};
	const {time, directory, find, permitRequests, outcomes} = await start(
		limits,
		grant(80),
	);
	find();
	const [{targets}] = permitRequests;
	directory.set(targets[0].targetId, undefined, storeRevision(2));
	await time.runUntil(500);
	assert.deepEqual(outcomes, [`${targets[1].targetId} after 80`]);
	assert.equal(permitRequests[1].maxWaitMs, 20);
});

test('sends to a target freely again once it has lifted its limit', async () => {
	const {time, statements, find, permitRequests, outcomes} = await start(
		{t1: 4},
		grant(0),
	);
	find();
	await time.runUntil(50);
	statements.recordResponse(fakeTargetEntry('t1'), fakeResponseHead('q2'), 40);
	find();
	assert.equal(permitRequests.length, 1);
	assert.deepEqual(outcomes, ['t1 after 0', 't1']);
});

const leavingHead = fakeResponseHead('q1', {leaving: {state: 'leaving'}});
const backOffHead = (durationMs: number) =>
	fakeResponseHead('q1', {
		status: 503,
		isFromTarget: false,
		notExecuted: true,
		backOff: {state: 'backing-off', durationMs},
	});

test('uses a target that says that it leaves only if there is no other, and only for a time', async () => {
	const limits = {t1: undefined, t2: undefined};
	const {time, statements, find, outcomes} = await start(limits, grant(0));
	statements.recordResponse(fakeTargetEntry('t1'), leavingHead, 0);
	for (let index = 0; index < 10; index++) {
		find();
	}

	assert.deepEqual(new Set(outcomes), new Set(['t2']));
	statements.recordResponse(fakeTargetEntry('t2'), leavingHead, 0);
	find();
	assert.match(outcomes.at(-1) ?? '', /^t[12]$/);
	await time.runUntil(1500);
	find();
	assert.equal(outcomes.at(-1), 'all targets leave, undefined');
});

test('a target that wants no requests for a time gets none, and callers without another target learn when to return', async () => {
	const limits = {t1: undefined, t2: undefined};
	const {time, statements, find, outcomes} = await start(limits, grant(0));
	statements.recordResponse(fakeTargetEntry('t1'), backOffHead(3000), 0);
	find();
	assert.equal(outcomes.at(-1), 't2');
	statements.recordResponse(fakeTargetEntry('t2'), backOffHead(5000), 0);
	find();
	const [, retryAfterMs] =
		/^all targets want no requests for a time, ([\d.]+)$/.exec(
			outcomes.at(-1) ?? '',
		) ?? [];
	assert.ok(Number(retryAfterMs) >= 3000 && Number(retryAfterMs) <= 5000);
	await time.runUntil(3100);
	find();
	assert.equal(outcomes.at(-1), 't1');
});

test('a target that wants no requests any more when the turn comes does not get the call', async () => {
	const {time, statements, find, outcomes} = await start(
		{t1: 4, t2: undefined},
		grant(80),
	);
	find(100, ['t2']);
	await time.runUntil(40);
	statements.recordResponse(fakeTargetEntry('t1'), backOffHead(3000), 0);
	await time.runUntil(200);
	assert.deepEqual(outcomes, ['no target of the service is usable, undefined']);
});

test('a target in an evacuated zone gets no call, also not with a turn that was granted before', async () => {
	const limits = {t1: 4};
	const {time, evacuatedZones, find, outcomes} = await start(limits, grant(80));
	find();
	evacuatedZones.replace(['zone-1']);
	await time.runUntil(500);
	assert.deepEqual(outcomes, ['all targets are evacuated, undefined']);
	find();
	assert.equal(outcomes.length, 2);
	evacuatedZones.replace([]);
	find();
	await time.runUntil(1000);
	assert.match(outcomes.at(-1) ?? '', /^t1 after/);
});

test('a call goes only to targets in its allowed regions, and is refused at once if there are none', async () => {
	const limits = {t1: undefined, t2: undefined};
	const {directory, statements, find, outcomes} = await start(limits, grant(0));
	const elsewhere = fakeTargetEntry('t2', {availabilityZone: 'zone-2'});
	directory.set('t2', elsewhere, storeRevision(2));
	for (let index = 0; index < 10; index++) {
		find(100, [], new Set(['region-2']));
	}

	assert.deepEqual(new Set(outcomes), new Set(['t2']));
	find(100, [], new Set(['region-3']));
	assert.equal(outcomes.at(-1), 'no target is in an allowed region, undefined');
	statements.recordResponse(elsewhere, backOffHead(3000), 0);
	find(100, [], new Set(['region-2']));
	assert.match(
		outcomes.at(-1) ?? '',
		/^all targets want no requests for a time, /,
	);
});

test('a call that is drawn for another zone leaves its own, but not for an evacuated zone or one outside its regions', async () => {
	const limits = {t1: undefined, t2: undefined};
	const drawn = () => 'zone-2';
	const {directory, evacuatedZones, find, outcomes} = await start(
		limits,
		grant(0),
		drawn,
	);
	const elsewhere = fakeTargetEntry('t2', {availabilityZone: 'zone-2'});
	directory.set('t2', elsewhere, storeRevision(2));
	find();
	assert.equal(outcomes.at(-1), 't2');
	find(100, ['t2']);
	assert.equal(outcomes.at(-1), 't1');
	find(100, [], new Set(['region-1']));
	assert.equal(outcomes.at(-1), 't1');
	evacuatedZones.replace(['zone-2']);
	find();
	assert.equal(outcomes.at(-1), 't1');
});
