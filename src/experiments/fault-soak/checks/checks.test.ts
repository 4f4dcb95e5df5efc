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

const attempt = (
	id: string,
	changes: Partial<ObservedRequest> = {},
): ObservedRequest => ({
	id,
	vm: 0,
	kind: 'booking',
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

const work = (
	requestId: string,
	changes: Partial<Execution> = {},
): Execution => ({
	...arrival(requestId),
	startMs: 10_001,
	endMs: 10_026,
	...changes,
});

const observed = (changes: Partial<Observations>): Observations => ({
	...createObservations(soakBounds),
	...changes,
});

const broken = (changes: Partial<Observations>) => [
	...new Set(checkInvariants(observed(changes)).map(({promise}) => promise)),
];

test('guards against a check of starts that misses a second run or takes a continuation for one', () => {
	const attempts = [attempt('a')];
	const once = [work('a')];
	const later = {startMs: 10_500, targetId: 't2', isContinuation: true};
	assert.deepEqual(broken({attempts, works: once}), []);
	assert.deepEqual(broken({attempts, works: [...once, work('a', later)]}), []);
	assert.deepEqual(
		broken({attempts, works: [...once, work('a', {targetId: 't2'})]}),
		['at-most-once'],
	);
	const both = [work('a', {endMs: 11_000}), work('a', later)];
	assert.deepEqual(broken({attempts, works: both}), ['at-most-once']);
	const silenced = {
		vm: undefined,
		kind: 'target-silence',
		fromMs: 9500,
		untilMs: 9600,
	};
	assert.deepEqual(
		broken({attempts, works: both, disruptions: [silenced]}),
		[],
	);
});

test('guards against a check of refusals that misses one that ran or that names no time', () => {
	const refused = {status: 503, stamp: undefined, retryAfter: '0.3'};
	const attempts = [attempt('a', refused)];
	assert.deepEqual(broken({attempts}), []);
	assert.deepEqual(broken({attempts, works: [work('a')]}), ['true-refusal']);
	assert.deepEqual(
		broken({attempts: [attempt('a', {...refused, retryAfter: undefined})]}),
		['true-refusal'],
	);
});

test('guards against a check of answers that takes a part or a gap for a whole', () => {
	const events = (ids: readonly number[]) =>
		ids.map((id) => `id: ${id}\ndata: a ${id}\n\n`).join('');
	const report = {kind: 'report' as const, eventCount: 3};
	const withBody = (body: string, isWhole: boolean) =>
		broken({attempts: [attempt('a', {...report, body, isWhole})]});
	assert.deepEqual(withBody(events([1, 2, 3]), true), []);
	assert.deepEqual(withBody(events([1, 2]), false), []);
	assert.deepEqual(withBody(events([1, 2]), true), ['whole-answer']);
	assert.deepEqual(withBody(events([1, 3]), false), ['event-order']);
	assert.deepEqual(broken({attempts: [attempt('a', {body: 'b by t1'})]}), [
		'whole-answer',
	]);
});

test('guards against a check of the retry budget that misses a window above it', () => {
	const repeated = (count: number) => {
		const ids = Array.from({length: count}, (_, index) => `a${index}`);
		const first = ids.map((id) => arrival(id));
		const second = ids.map((id) => arrival(id, {targetId: 't2', atMs: 10_010}));
		return broken({
			attempts: ids.map((id) => attempt(id, {kind: 'lookup'})),
			arrivals: [...first, ...second],
		});
	};

	assert.deepEqual(repeated(retryExtra), []);
	assert.deepEqual(repeated(2 * retryExtra), ['retry-budget']);
});

test('guards against checks of leaving targets and configurations that excuse a VM without a fault', () => {
	const attempts = [attempt('a')];
	const arrivals = [arrival('a')];
	const left = (atMs: number) => ({
		attempts,
		arrivals,
		leaves: [{targetId: 't1', atMs}],
	});
	assert.deepEqual(broken(left(10_001 - drainMs / 2)), []);
	assert.deepEqual(broken(left(10_001 - 2 * drainMs)), ['leaving-target']);
	const cut = {vm: 0, kind: 'store-delay', fromMs: 9000, untilMs: 9500};
	assert.deepEqual(
		broken({...left(10_001 - 2 * drainMs), disruptions: [cut]}),
		[],
	);

	const moved = [arrival('a', {service: 'moving-4'})];
	const changedAt = (atMs: number) => ({
		attempts,
		arrivals: moved,
		configurations: [
			{version: 4, atMs: 0},
			{version: 6, atMs},
		],
	});
	assert.deepEqual(broken(changedAt(9500)), []);
	assert.deepEqual(broken(changedAt(9500 - configurationApplyMs)), [
		'configuration-applied',
	]);
});

test('guards against a check of versions that misses a process which goes back', () => {
	const incarnations = [
		{vm: 0, startMs: 0, endMs: Infinity, ownEnd: undefined, signalledCpuMs: 0},
	];
	const attempts = [attempt('a', {sentMs: 9000, endedMs: 9030}), attempt('b')];
	const handled = (first: number, second: number) =>
		broken({
			attempts,
			incarnations,
			arrivals: [
				arrival('a', {service: `moving-${first}`, atMs: 9001}),
				arrival('b', {service: `moving-${second}`}),
			],
		});
	assert.deepEqual(handled(4, 6), []);
	assert.deepEqual(handled(6, 4), ['configuration-forward']);
});

test('guards against a check that takes a daemon which ended by itself for one that was ended', () => {
	const life = {
		vm: 0,
		startMs: 0,
		endMs: 9000,
		ownEnd: undefined,
		signalledCpuMs: 0,
	};
	assert.deepEqual(broken({incarnations: [life]}), []);
	assert.deepEqual(broken({incarnations: [{...life, ownEnd: '1'}]}), [
		'stays-up',
	]);
	const reloaded = {...life, ownEnd: 'SIGHUP'};
	assert.deepEqual(broken({incarnations: [reloaded]}), []);
	assert.deepEqual(
		broken({incarnations: [{...reloaded, signalledCpuMs: 400}]}),
		['stays-up'],
	);
});

test('guards against checks of time that excuse a late answer, lost work or lost service', () => {
	assert.deepEqual(broken({attempts: [attempt('a', {endedMs: 12_500})]}), [
		'prompt-answer',
	]);
	const left = attempt('a', {kind: 'report', eventCount: 3, leftMs: 10_100});
	const body = 'id: 1\ndata: a 1\n\n';
	const attempts = [{...left, body, isWhole: false}];
	assert.deepEqual(broken({attempts, works: [work('a')]}), []);
	assert.deepEqual(broken({attempts, works: [work('a', {endMs: 11_000})]}), [
		'work-ends',
	]);
	const lateness = [{atMs: 10_900, lateMs: 700}];
	assert.deepEqual(
		broken({attempts, works: [work('a', {endMs: 11_000})], lateness}),
		[],
	);
	assert.deepEqual(
		broken({attempts, works: [work('a', {endMs: 12_000})], lateness}),
		['work-ends'],
	);
	const failed = attempt('b', {status: 502, stamp: undefined, isWhole: false});
	assert.deepEqual(broken({attempts: [failed]}), ['calm-service']);
	const unread = {...failed, status: undefined, endedMs: 10_400};
	const life = {vm: 0, startMs: 0, ownEnd: undefined, signalledCpuMs: 0};
	const ended = (endMs: number) =>
		broken({attempts: [unread], incarnations: [{...life, endMs}]});
	assert.deepEqual(ended(9000), []);
	assert.deepEqual(ended(Infinity), ['calm-service']);
	const killed = {vm: 0, kind: 'vm-kill', fromMs: 9000, untilMs: 9500};
	assert.deepEqual(broken({attempts: [failed], disruptions: [killed]}), []);
	assert.deepEqual(
		broken({attempts: [failed], disruptions: [killed], calmFromMs: 0}),
		['recovery'],
	);
});
