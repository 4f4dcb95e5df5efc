import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type Arrival,
	type ObservedRequest,
	createObservations,
	type Observations,
	type Execution,
} from '../observations.js';
import {soakBounds} from '../soak-bounds.js';
import {checkInvariants} from './index.js';

const {drainMs, retryExtra, configurationApplyMs} = soakBounds;

const request = (
	id: string,
	changes: Partial<ObservedRequest> = {},
): ObservedRequest => ({
	id,
	vm: 0,
	kind: 'booking',
	crashingPart: undefined,
	routeTimeoutMs: 1500,
	eventCount: 0,
	sentMs: 10_000,
	endedMs: 10_030,
	status: 200,
	stamp: `t1.${id}`,
	retryAfter: undefined,
	body: `${id} by t1`,
	isWhole: true,
	leftMs: undefined,
	...changes,
});

const arrival = (
	requestId: string,
	changes: Partial<Arrival> = {},
): Arrival => ({
	requestId,
	targetId: 't1',
	service: 'desk',
	atMs: 10_001,
	isContinuation: false,
	...changes,
});

const execution = (
	requestId: string,
	changes: Partial<Execution> = {},
): Execution => ({
	...arrival(requestId),
	startMs: 10_001,
	endMs: 10_026,
	...changes,
});

const createObserved = (changes: Partial<Observations>): Observations => ({
	...createObservations(soakBounds),
	...changes,
});

const violatedInvariants = (changes: Partial<Observations>) => [
	...new Set(
		checkInvariants(createObserved(changes)).map(({promise}) => promise),
	),
];

test('reports a request that runs twice or at two targets at once, unless a fault explains the overlap', () => {
	const attempts = [request('a')];
	const once = [execution('a')];
	const later = {startMs: 10_500, targetId: 't2', isContinuation: true};
	assert.deepEqual(violatedInvariants({attempts, works: once}), []);
	assert.deepEqual(
		violatedInvariants({attempts, works: [...once, execution('a', later)]}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({
			attempts,
			works: [...once, execution('a', {targetId: 't2'})],
		}),
		['at-most-once'],
	);
	const both = [execution('a', {endMs: 11_000}), execution('a', later)];
	assert.deepEqual(violatedInvariants({attempts, works: both}), [
		'at-most-once',
	]);
	const silence = {
		vm: undefined,
		kind: 'target-silence',
		fromMs: 9500,
		untilMs: 9600,
	};
	assert.deepEqual(
		violatedInvariants({attempts, works: both, disruptions: [silence]}),
		[],
	);
});

test('reports a refusal of a request that has run, or without a time to retry', () => {
	const refused = {status: 503, stamp: undefined, retryAfter: '0.3'};
	const attempts = [request('a', refused)];
	assert.deepEqual(violatedInvariants({attempts}), []);
	assert.deepEqual(violatedInvariants({attempts, works: [execution('a')]}), [
		'true-refusal',
	]);
	assert.deepEqual(
		violatedInvariants({
			attempts: [request('a', {...refused, retryAfter: undefined})],
		}),
		['true-refusal'],
	);
});

test('reports a response that is incomplete, has a gap or belongs to another request', () => {
	const events = (ids: readonly number[]) =>
		ids.map((id) => `id: ${id}\ndata: a ${id}\n\n`).join('');
	const report = {kind: 'report' as const, eventCount: 3};
	const violatedByBody = (body: string, isWhole: boolean) =>
		violatedInvariants({attempts: [request('a', {...report, body, isWhole})]});
	assert.deepEqual(violatedByBody(events([1, 2, 3]), true), []);
	assert.deepEqual(violatedByBody(events([1, 2]), false), []);
	assert.deepEqual(violatedByBody(events([1, 2]), true), ['whole-answer']);
	assert.deepEqual(violatedByBody(events([1, 3]), false), ['event-order']);
	assert.deepEqual(
		violatedInvariants({attempts: [request('a', {body: 'b by t1'})]}),
		['whole-answer'],
	);
});

test('reports a window with more retries than the retry budget allows', () => {
	const violatedByRetries = (count: number) => {
		const ids = Array.from({length: count}, (_, index) => `a${index}`);
		const first = ids.map((id) => arrival(id));
		const second = ids.map((id) => arrival(id, {targetId: 't2', atMs: 10_010}));
		return violatedInvariants({
			attempts: ids.map((id) => request(id, {kind: 'lookup'})),
			arrivals: [...first, ...second],
		});
	};

	assert.deepEqual(violatedByRetries(retryExtra), []);
	assert.deepEqual(violatedByRetries(2 * retryExtra), ['retry-budget']);
});

test('reports late use of a leaving target, unless its VM met a fault, and of an old configuration', () => {
	const attempts = [request('a')];
	const arrivals = [arrival('a')];
	const leaving = (atMs: number) => ({
		attempts,
		arrivals,
		leaves: [{targetId: 't1', atMs}],
	});
	assert.deepEqual(violatedInvariants(leaving(10_001 - drainMs / 2)), []);
	assert.deepEqual(violatedInvariants(leaving(10_001 - 2 * drainMs)), [
		'leaving-target',
	]);
	const cut = {vm: 0, kind: 'store-delay', fromMs: 9000, untilMs: 9500};
	assert.deepEqual(
		violatedInvariants({...leaving(10_001 - 2 * drainMs), disruptions: [cut]}),
		[],
	);

	const moved = [arrival('a', {service: 'moving-4'})];
	const withChangeAt = (atMs: number) => ({
		attempts,
		arrivals: moved,
		configurations: [
			{version: 4, atMs: 0},
			{version: 6, atMs},
		],
	});
	assert.deepEqual(violatedInvariants(withChangeAt(9500)), []);
	assert.deepEqual(
		violatedInvariants(withChangeAt(9500 - configurationApplyMs)),
		['configuration-applied'],
	);
});

test('reports a process that returns to an older configuration version', () => {
	const incarnations = [
		{vm: 0, startMs: 0, endMs: Infinity, ownEnd: undefined, signalledCpuMs: 0},
	];
	const attempts = [request('a', {sentMs: 9000, endedMs: 9030}), request('b')];
	const handledByVersions = (first: number, second: number) =>
		violatedInvariants({
			attempts,
			incarnations,
			arrivals: [
				arrival('a', {service: `moving-${first}`, atMs: 9001}),
				arrival('b', {service: `moving-${second}`}),
			],
		});
	assert.deepEqual(handledByVersions(4, 6), []);
	assert.deepEqual(handledByVersions(6, 4), ['configuration-forward']);
});

test('reports a daemon that exits unexpectedly, except at SIGHUP while Node.js starts', () => {
	const incarnation = {
		vm: 0,
		startMs: 0,
		endMs: 9000,
		ownEnd: undefined,
		signalledCpuMs: 0,
	};
	assert.deepEqual(violatedInvariants({incarnations: [incarnation]}), []);
	assert.deepEqual(
		violatedInvariants({incarnations: [{...incarnation, ownEnd: '1'}]}),
		['stays-up'],
	);
	const reloaded = {...incarnation, ownEnd: 'SIGHUP'};
	assert.deepEqual(violatedInvariants({incarnations: [reloaded]}), []);
	assert.deepEqual(
		violatedInvariants({incarnations: [{...reloaded, signalledCpuMs: 400}]}),
		['stays-up'],
	);
});

test('reports late responses, generations that outlive their caller, requests that fail without a fault, and failures after recovery', () => {
	assert.deepEqual(
		violatedInvariants({attempts: [request('a', {endedMs: 12_500})]}),
		['prompt-answer'],
	);
	const leaving = request('a', {kind: 'report', eventCount: 3, leftMs: 10_100});
	const body = 'id: 1\ndata: a 1\n\n';
	const attempts = [{...leaving, body, isWhole: false}];
	assert.deepEqual(violatedInvariants({attempts, works: [execution('a')]}), []);
	assert.deepEqual(
		violatedInvariants({attempts, works: [execution('a', {endMs: 11_000})]}),
		['work-ends'],
	);
	const lateness = [{atMs: 10_900, lateMs: 700}];
	assert.deepEqual(
		violatedInvariants({
			attempts,
			works: [execution('a', {endMs: 11_000})],
			lateness,
		}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({
			attempts,
			works: [execution('a', {endMs: 12_000})],
			lateness,
		}),
		['work-ends'],
	);
	const failed = request('b', {status: 502, stamp: undefined, isWhole: false});
	assert.deepEqual(violatedInvariants({attempts: [failed]}), ['calm-service']);
	const unread = {...failed, status: undefined, endedMs: 10_400};
	const incarnation = {vm: 0, startMs: 0, ownEnd: undefined, signalledCpuMs: 0};
	const violatedWithEnd = (endMs: number) =>
		violatedInvariants({
			attempts: [unread],
			incarnations: [{...incarnation, endMs}],
		});
	assert.deepEqual(violatedWithEnd(9000), []);
	assert.deepEqual(violatedWithEnd(Infinity), ['calm-service']);
	const kill = {vm: 0, kind: 'vm-kill', fromMs: 9000, untilMs: 9500};
	assert.deepEqual(
		violatedInvariants({attempts: [failed], disruptions: [kill]}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({
			attempts: [failed],
			disruptions: [kill],
			calmFromMs: 0,
		}),
		['recovery'],
	);
});

test('reports a target that gets more requests than the rate limit that it names, unless the VM that sends them was disrupted', () => {
	const attempts = Array.from({length: 30}, (_, index) =>
		request(`a${index}`, {vm: index % 2}),
	);
	const arrivals = attempts.map(({id}, index) =>
		arrival(id, {atMs: 10_000 + index * 100}),
	);
	const limit = {targetId: 't1', fromMs: 7000, untilMs: 20_000};
	const limitOf = (requestsPerSecond: number) => ({
		attempts,
		arrivals,
		rateLimits: [{...limit, requestsPerSecond}],
	});
	const pause = {vm: 0, kind: 'vm-pause', fromMs: 10_000, untilMs: 13_000};
	assert.deepEqual(violatedInvariants(limitOf(5)), []);
	assert.deepEqual(violatedInvariants(limitOf(4)), ['rate-limit']);
	assert.deepEqual(
		violatedInvariants({...limitOf(4), disruptions: [pause]}),
		[],
	);
	const storeOutage = {...pause, vm: undefined, kind: 'store-refuse'};
	assert.deepEqual(
		violatedInvariants({...limitOf(4), disruptions: [storeOutage]}),
		['rate-limit'],
	);
});

test('reports requests with a crashing part that reach engines after the fifth end, unless their VM was disrupted', () => {
	const attempts = Array.from({length: 8}, (_, index) =>
		request(`a${index}`, {kind: 'report', crashingPart: 'x', vm: index % 2}),
	);
	const arrivalsFrom = (startMs: number) =>
		attempts.map(({id}, index) => arrival(id, {atMs: startMs + index * 10}));
	const partCrashes = [1, 2, 3, 4, 5].map((index) => ({
		part: 'x',
		atMs: 10_000 + index * 100,
	}));
	const knownMs = 10_500 + soakBounds.contactMs;
	const observed = {attempts, partCrashes, arrivals: arrivalsFrom(knownMs + 1)};
	assert.deepEqual(violatedInvariants(observed), ['crashing-part']);
	assert.deepEqual(
		violatedInvariants({...observed, arrivals: arrivalsFrom(knownMs - 100)}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({...observed, partCrashes: partCrashes.slice(1)}),
		[],
	);
	const pause = {vm: 0, kind: 'vm-pause', fromMs: 11_000, untilMs: 12_000};
	assert.deepEqual(
		violatedInvariants({
			...observed,
			disruptions: [pause, {...pause, vm: 1}],
		}),
		[],
	);
});

test('reports requests that reach a target against what it has said to their VM, and those of no other VM', () => {
	const attempts = ['a0', 'a1', 'a2', 'a3'].map((id) => request(id));
	const other = request('b0', {vm: 1});
	const arrivalsAt = (atMs: number) =>
		attempts.slice(1).map(({id}, index) => arrival(id, {atMs: atMs + index}));
	const stated = {targetId: 't1', requestId: 'a0', atMs: 10_000};
	const leaving = {
		attempts,
		statements: [{...stated, statement: {kind: 'leaving' as const}}],
	};
	assert.deepEqual(
		violatedInvariants({...leaving, arrivals: arrivalsAt(10_000 + drainMs)}),
		['stated-leaving'],
	);
	assert.deepEqual(
		violatedInvariants({...leaving, arrivals: arrivalsAt(9990 + drainMs)}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({
			...leaving,
			attempts: [...attempts, other],
			arrivals: [arrival('b0', {atMs: 20_000})],
		}),
		[],
	);
	const statement = {kind: 'back-off' as const, forMs: 1500};
	const backOff = {attempts, statements: [{...stated, statement}]};
	assert.deepEqual(
		violatedInvariants({...backOff, arrivals: arrivalsAt(10_600)}),
		['back-off'],
	);
	assert.deepEqual(
		violatedInvariants({
			...backOff,
			arrivals: arrivalsAt(10_600).slice(1),
		}),
		[],
	);
	assert.deepEqual(
		violatedInvariants({...backOff, arrivals: arrivalsAt(11_600)}),
		[],
	);
});
