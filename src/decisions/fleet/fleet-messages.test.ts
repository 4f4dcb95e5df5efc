import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {ProblemError} from '../../common/index.js';
import {decodeFleetMessage} from './decode-fleet-message.js';
import {encodeFleetMessage} from './encode-fleet-message.js';
import type {FleetMessage} from './fleet-message-types.js';

const sender = {
	address: '10.1.0.2:7200',
	availabilityZone: 'zone-1',
	instanceId: '0f3a',
	cpuMsPerSecond: 324,
	storeReadState: 'reading',
} as const;
const run = {
	id: 'q1.1',
	targetId: 'e1',
	copyTargetId: undefined,
	promptTokens: 3000,
	doneTokens: 40,
	remainingTokens: 600,
	priority: 1,
	account: 'acme',
};
const table = {
	revision: {era: 2, version: 40},
	changeVersion: 31,
	ageMs: 200,
};
const request = {
	id: 'q2.1',
	service: 'model',
	purpose: 'run',
	promptTokens: 2200,
	expectedTokens: 12,
	doneTokens: 0,
	preferredZone: 'zone-1',
	excludedTargetIds: ['e2'],
	previousWaitMs: 0,
	waitedMs: 10,
	objectiveMs: 1800,
	remainingMs: 38_990,
	priority: 0,
	isPrecaution: true,
	account: 'acme',
} as const;

const messages: readonly FleetMessage[] = [
	{
		kind: 'target-report',
		report: {
			incarnation: 1_700_000_000_000,
			sequence: 9,
			totals: [
				{
					targetId: 's1',
					answers: 40,
					failures: 3,
					idempotentCalls: 17,
					trialAnswers: 2,
					trialFailures: 1,
				},
			],
		},
	},
	{
		kind: 'avoided-targets',
		list: {
			incarnation: 1_700_000_000_000,
			sequence: 4,
			targets: [{targetId: 's1', idempotentShare: 0.25, otherShare: 0}],
		},
	},
	{
		kind: 'call-rates',
		availabilityZone: 'zone-1',
		calls: [
			{service: 'desk', callsPerSecond: 1.5, serviceMs: 21.4},
			{service: 'till', callsPerSecond: 0, serviceMs: undefined},
		],
	},
	{
		kind: 'zone-demand',
		demands: [
			{service: 'desk', serviceMs: 21.4, zones: new Map([['zone-1', 27.5]])},
		],
	},
	{
		kind: 'retry-credits',
		sequence: 7,
		credits: [{service: 'desk', retries: 0.125}],
	},
	{
		kind: 'heartbeat',
		sender,
		sequence: 3,
		configuration: table,
		targets: table,
		runs: [run, {...run, id: 'q3.1', copyTargetId: 'e2'}],
		operatorVersion: 12,
	},
	{
		kind: 'beacon',
		sender,
		sequence: 4,
		vmCount: 195,
		members: [
			[{...sender, address: '10.1.0.3:7200', storeReadState: 'lost'}, 300],
		],
		configuration: table,
		targets: table,
		operatorVersion: 12,
	},
	{kind: 'run-update', set: [run], ended: ['q9.1']},
	{kind: 'place', request},
	{
		kind: 'placed',
		id: 'q2.1',
		decision: {
			outcome: 'placed',
			placement: {
				targetId: 'e1',
				copyTargetId: 'e3',
				firstTokenMs: 200,
				memoryFraction: 0.5,
				isLate: true,
			},
		},
	},
	{kind: 'placed', id: 'q2.1', decision: {outcome: 'waiting', waitingCount: 2}},
	{
		kind: 'placed',
		id: 'q2.1',
		decision: {outcome: 'refused', reason: 'no memory', retryAfterMs: 900},
	},
	{kind: 'cancel', id: 'q2.1'},
	{kind: 'retry', id: '7', service: 'model'},
	{kind: 'retry-answer', id: '7', isGranted: true},
	{
		kind: 'rate-limits',
		reports: [
			{targetId: 't1', requestsPerSecond: 3.6, ageMs: 20},
			{targetId: 't2', requestsPerSecond: undefined, ageMs: 900},
		],
	},
	{
		kind: 'permit',
		id: '8',
		request: {
			targets: [{targetId: 't1', requestsPerSecond: 3.6}],
			maxWaitMs: 90,
			isUrgent: true,
		},
	},
	{
		kind: 'permit-answer',
		id: '8',
		decision: {outcome: 'granted', targetId: 't1', waitMs: 40},
	},
	{
		kind: 'permit-answer',
		id: '8',
		decision: {outcome: 'denied', waitMs: 400, retryAfterMs: 900},
	},
	{kind: 'permit-answer', id: '8', decision: undefined},
	{
		kind: 'crash-evidence',
		reports: [
			{
				partId: '5c1e07a2',
				crashes: [
					{engine: 'e1@17', ageMs: 900, sentAgeMs: 1300, eventCount: 5},
				],
				clearedAgeMs: undefined,
			},
			{partId: '91bd3f06', crashes: [], clearedAgeMs: 40},
		],
	},
];

for (const message of messages) {
	test(`decodes an encoded ${message.kind} message to the same value`, () => {
		const text = encodeFleetMessage(message);
		assert.deepEqual(decodeFleetMessage(JSON.parse(text)), message);
	});
}

test('decodes a placement request of an older build, which names neither precautions nor the account', () => {
	const text = encodeFleetMessage({kind: 'place', request});
	const [kind, fields] = JSON.parse(text) as [string, unknown[]];
	const decoded = decodeFleetMessage([kind, fields.slice(0, -2)]);
	assert.deepEqual(decoded, {
		kind: 'place',
		request: {...request, isPrecaution: false, account: ''},
	});
});

test('rejects malformed messages with peer-protocol, so that a datagram cannot crash a VM', () => {
	fc.assert(
		fc.property(
			fc.oneof(
				fc.jsonValue(),
				fc.tuple(
					fc.constantFrom(
						'h',
						'b',
						'u',
						'p',
						'a',
						'c',
						't',
						'g',
						'l',
						'm',
						'd',
						'e',
					),
					fc.jsonValue(),
					fc.jsonValue(),
					fc.jsonValue(),
				),
			),
			(value) => {
				try {
					decodeFleetMessage(value);
				} catch (error) {
					assert.ok(error instanceof ProblemError);
					assert.equal(error.type, 'peer-protocol');
				}
			},
		),
		{seed: 7, numRuns: 2000},
	);
});
