import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	PlainService,
	ProblemError,
	SeededRandomSource,
	type ServiceResponse,
	type ServiceCall,
	type TargetDescription,
} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createOutlierDetector} from './outlier-detector.js';
import {createRetryBudget} from './retry-budget.js';
import {createServiceCaller} from './service-caller.js';

const answer: ServiceResponse = {status: 200, contentType: '', body: ''};
const latencyMs = 5;

class Service extends PlainService {
	calls = 0;
	isDown = false;
	latencyMs = latencyMs;

	constructor(
		private readonly time: VirtualTime,
		readonly id: string,
	) {
		super();
	}

	override get description(): TargetDescription {
		return {
			id: this.id,
			kind: 'service',
			url: '',
			availabilityZone: '',
			models: [],
			service: 'stock',
			fencing: 'ignores',
			answersOutcomes: false,
		};
	}

	override async call(call: ServiceCall): Promise<ServiceResponse> {
		this.calls++;
		await this.time.sleep(Math.min(this.latencyMs, call.timeoutMs));
		if (this.isDown || this.latencyMs > call.timeoutMs) {
			throw new ProblemError('target-unavailable', 'down');
		}

		return answer;
	}

	override async outcome(): Promise<undefined> {
		return undefined;
	}
}

function createFixture(count: number) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(1);
	const services = Array.from(
		{length: count},
		(_, index) => new Service(time, `service-${index}`),
	);
	const ejected = new Set<string>();
	const outliers = createOutlierDetector({
		clock: time,
		maxFailures: 3,
		slowFactor: 5,
		slowMinMs: 20,
		ejectionMs: 2000,
		maxEjectionMs: 30_000,
		maxEjectedFraction: 0.5,
		onEjected(targetId) {
			ejected.add(targetId);
		},
	});
	outliers.setTargets(
		'stock',
		services.map(({id}) => id),
	);
	let retries = 0;
	const caller = createServiceCaller({
		clock: time,
		timers: time,
		random,
		budget: createRetryBudget({
			clock: time,
			retriesPerRequest: 0.1,
			retriesPerSecond: 1,
			bucketCapacity: 10,
		}),
		outliers,
		maxAttempts: 3,
		backoffBaseMs: 25,
		backoffMaxMs: 1000,
		chooseTarget(_service, avoid) {
			const preferred = services.filter(({id}) => !avoid.has(id));
			const usable = preferred.length > 0 ? preferred : services;
			return usable[random.nextInt(usable.length)];
		},
		onRetry() {
			retries++;
		},
	});
	const run = async (timeoutMs = 1000) => {
		try {
			await caller.run({
				account: 'account',
				service: 'stock',
				deadlineMs: time.nowMs() + timeoutMs,
				call: {
					method: 'GET',
					path: '/',
					body: '',
					contentType: '',
					idempotencyKey: undefined,
					timeoutMs: 500,
				},
			});
			return 'ok';
		} catch (error) {
			return (error as ProblemError).type;
		}
	};

	/** Calls at a steady rate for a time and counts the outcomes. */
	const load = async (callsPerSecond: number, durationMs: number) => {
		const outcomes: string[] = [];
		const endMs = time.nowMs() + durationMs;
		for (let atMs = 0; atMs < durationMs; atMs += 1000 / callsPerSecond) {
			time.after(atMs, () => {
				void run().then((outcome) => outcomes.push(outcome));
			});
		}

		await time.runUntil(endMs + 2000);
		return outcomes;
	};

	return {
		time,
		services,
		outliers,
		ejected,
		run,
		load,
		retryCount: () => retries,
	};
}

// Guards against a retry storm when an availability zone dies.
test('keeps retries within the budget when a third of the targets dies', async () => {
	const {services, load, retryCount, outliers} = createFixture(9);
	for (const service of services.slice(0, 3)) {
		service.isDown = true;
	}

	const outcomes = await load(100, 10_000);
	assert.equal(outcomes.length, 1000);
	// Saved, earned with requests and earned with time.
	assert.ok(retryCount() <= 10 + 0.1 * 1000 + 12, `${retryCount()} retries`);
	const failed = outcomes.filter((one) => one !== 'ok').length;
	assert.ok(failed < 20, `${failed} calls failed`);
	assert.equal(outliers.excluded('stock').size, 3);
});

// Guards against taking out every target when all of them fail.
test('never takes out more than half of the targets', async () => {
	const {services, load, outliers} = createFixture(4);
	for (const service of services) {
		service.isDown = true;
	}

	await load(50, 2000);
	assert.ok(outliers.excluded('stock').size <= 2);
});

// Guards against targets that stay out after they recovered, and against slow ones that stay in.
test('takes a slow target out and lets it back in after a probe', async () => {
	const {time, services, load, ejected} = createFixture(4);
	services[0].latencyMs = 200;
	await load(50, 2000);
	assert.deepEqual([...ejected], ['service-0']);
	services[0].latencyMs = latencyMs;
	await time.runUntil(time.nowMs() + 4000);
	services[0].calls = 0;
	await load(50, 2000);
	assert.ok(services[0].calls > 10, `${services[0].calls} calls`);
});

// Guards against calls that go on after their caller stopped waiting.
test('ends at the deadline', async () => {
	const {time, services, run} = createFixture(2);
	for (const service of services) {
		service.latencyMs = 10_000;
	}

	const startedMs = time.nowMs();
	let endedMs = 0;
	const outcome = run(300).then((type) => {
		endedMs = time.nowMs();
		return type;
	});
	await time.runUntil(5000);
	assert.equal(await outcome, 'deadline-exceeded');
	assert.ok(endedMs - startedMs <= 301);
});
