import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	Clock,
	type ProblemError,
	SeededRandomSource,
	type TargetDescription,
} from '../../common/index.js';
import {
	type ContractLedger,
	createContractLedger,
	createPeerUsage,
} from '../contracts/index.js';
import {createGenerationRouter} from './generation-router.js';
import {createLengthStatistics} from './length-statistics.js';
import type {Route} from './types.js';

class ManualClock extends Clock {
	timeMs = 0;

	override nowMs(): number {
		return this.timeMs;
	}

	override wallMs(): number {
		return 1_700_000_000_000 + this.timeMs;
	}
}

const ledger: ContractLedger = {
	quotaStatus: () => ({
		belowFloor: false,
		floorTokensLeft: 0,
		ceilingTokensLeft: 1e9,
		shareWeight: 1,
	}),
	reserve: (account, estimatedTokens) => ({account, estimatedTokens}),
	adopt: (account) => ({account, estimatedTokens: 0}),
	charge() {
		// The tests look at placement only.
	},
	release() {
		// The tests look at placement only.
	},
};

function createFixture(engineCount: number, ledgerInUse = ledger) {
	const clock = new ManualClock();
	let nextId = 0;
	const router = createGenerationRouter({
		clock,
		random: new SeededRandomSource(1),
		fleetPosition: () => ({vmCount: 1, rank: 0}),
		availabilityZone: 'zone-1',
		ledger: ledgerInUse,
		statistics: createLengthStatistics(),
		settingsFor: () => ({
			contract: {
				floorTokensPerMinute: 0,
				ceilingTokensPerMinute: 1e9,
				shareWeight: 1,
			},
			classSettings: {
				defaultDelivery: 'whole',
				resumeWindowMs: 0,
				maxTokens: 1000,
				queueTimeoutMs: 5000,
			},
			weights: {stallPerSecond: 1, preemption: 1, tailPerSecond: 1},
		}),
		createGenerationId: () => `g${nextId++}`,
	});
	const descriptions = new Map<string, TargetDescription>();
	for (let index = 0; index < engineCount; index++) {
		const id = `engine-${index}`;
		descriptions.set(id, {
			id,
			kind: 'engine',
			url: `http://${id}`,
			availabilityZone: 'zone-1',
			models: ['m'],
			service: '',
			fencing: 'ignores',
			answersOutcomes: false,
		});
	}

	router.engines.update(descriptions);
	const report = (id: string, sequence: number, usedTokens: number) => {
		router.engines.recordReport(
			id,
			{
				sequence,
				ageMs: 0,
				runningCount: 0,
				waitingCount: 0,
				usedTokens,
				capacityTokens: 10_000,
				preemptionsTotal: 0,
				models: ['m'],
				leaving: false,
			},
			clock.nowMs(),
		);
	};

	for (const id of descriptions.keys()) {
		report(id, 1, 0);
	}

	const submit = (promptTokens: number, model = 'm') => {
		const routes: Route[] = [];
		const problems: ProblemError[] = [];
		const registration = router.submit(
			{
				account: 'a',
				requestClass: 'c',
				model,
				promptTokens,
				prefixHashes: [],
				maxTokens: 1000,
				delivery: 'whole',
			},
			{
				onPlaced(route) {
					routes.push(route);
				},
				onRefused(problem) {
					problems.push(problem);
				},
			},
		);
		return {routes, problems, registration};
	};

	return {clock, router, submit};
}

// Guards against an engine whose memory is promised twice, and against a waiting request that is lost.
test('fills engines up to the forecast, then waits for a stream to end', () => {
	const {clock, router, submit} = createFixture(1);
	const answers = Array.from({length: 6}, () => submit(2500));
	const placed = answers.filter((one) => one.routes.length === 1);
	assert.equal(placed.length > 0 && placed.length < 4, true);
	assert.equal(router.queueLength, 6 - placed.length);
	for (const {routes} of placed) {
		router.ended(routes[0].generationId, 'finished', 10);
	}

	clock.timeMs += 300;
	router.tick();
	assert.equal(
		answers.filter((one) => one.routes.length === 1).length > placed.length,
		true,
	);
});

// Guards against a refused or withdrawn request that is placed afterwards.
test('refuses with a time to retry, and never places what was refused or withdrawn', () => {
	const {clock, router, submit} = createFixture(1);
	const first = submit(9000);
	const late = submit(9000);
	const withdrawn = submit(9000);
	withdrawn.registration.dispose();
	clock.timeMs += 5000;
	router.tick();
	assert.equal(late.problems[0].type, 'not-run');
	assert.equal((late.problems[0].retryAfterMs ?? 0) >= 1000, true);
	router.ended(first.routes[0].generationId, 'finished', 10);
	clock.timeMs += 300;
	router.tick();
	assert.deepEqual([late.routes, withdrawn.routes], [[], []]);
	assert.equal(submit(10, 'absent').problems[0].type, 'unknown-model');
});

// Guards against new work for a target that is leaving or has just lost a generation.
test('avoids engines that leave or lost a generation', () => {
	const {clock, router, submit} = createFixture(3);
	router.engines.markLeaving('engine-0');
	const lost = submit(100).routes[0];
	router.ended(lost.generationId, 'lost', 0);
	const targets = new Set(
		Array.from({length: 10}, () => submit(100).routes[0].targetId),
	);
	assert.equal(targets.size, 1);
	assert.equal(targets.has(lost.targetId), false);
	assert.equal(targets.has('engine-0'), false);
	clock.timeMs += 2500;
	router.engines.markReturned('engine-0');
	const later = new Set(
		Array.from({length: 10}, () => submit(100).routes[0]?.targetId),
	);
	assert.equal(later.size > 1, true);
});

// Guards against a report that undoes what was sent since it was made.
test('counts own and peers’ streams on top of a lagging report', () => {
	const {clock, router, submit} = createFixture(2);
	router.engines.recordActivity(
		'peer',
		[
			{
				targetId: 'engine-0',
				openCount: 4,
				openTokens: 9500,
				expectedGrowthTokens: 0,
			},
		],
		clock.nowMs(),
	);
	assert.equal(submit(1000).routes[0].targetId, 'engine-1');
});

test('guards against a stream that hangs because what is produced after a resumption through another VM cannot be charged', () => {
	const ledgerInUse = createContractLedger({
		contractOf: () => ({
			floorTokensPerMinute: 0,
			ceilingTokensPerMinute: 1000,
			shareWeight: 1,
		}),
		peerUsage: createPeerUsage(),
		vmCount: () => 1,
		connected: () => true,
	});
	const {router, clock} = createFixture(1, ledgerInUse);
	router.adopt(
		{
			account: 'a',
			requestClass: 'c',
			model: 'm',
			promptTokens: 100,
			prefixHashes: [],
			maxTokens: 1000,
			delivery: 'whole',
		},
		'engine-0',
		'resumed',
		120,
	);
	router.progressed('resumed', 128);
	router.ended('resumed', 'lost', 130);
	assert.equal(router.openCount, 0);
	const {ceilingTokensLeft} = ledgerInUse.quotaStatus('a', clock.wallMs());
	assert.equal(ceilingTokensLeft, 990);
});
