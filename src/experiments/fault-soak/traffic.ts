import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from '../../common/index.js';
import {eventCountOf} from '../../platform/testing/index.js';
import {createCaller, type Caller} from './caller.js';
import type {
	ObservedRequest,
	RequestKind,
	Observations,
} from './observations.js';
import {deployment} from './operator.js';
import type {SoakVm} from './soak-fleet.js';

/** Callers that send until they are told to stop. */
export type Traffic = {
	/** Stops, and resolves when all outcomes are known. */
	stop(): Promise<void>;
};

const callersPerVm = 3;
const reportCallersPerVm = 2;
const minGapMs = 10;
const gapSpreadMs = 40;
const promptTokens = 600;
const minOutputTokens = 60;
const outputSpreadTokens = 180;
/** Part of the callers of reports that leave before the end. */
const leavingPart = 0.1;
const minLeaveMs = 80;
const leaveSpreadMs = 400;
const kindShares: ReadonlyArray<readonly [RequestKind, number]> = [
	['lookup', 0.55],
	['booking', 0.3],
	['moving', 0.15],
];

function kindOf(draw: number): RequestKind {
	let rest = draw;
	for (const [kind, share] of kindShares) {
		rest -= share;
		if (rest < 0) {
			return kind;
		}
	}

	return 'lookup';
}

/** Starts callers at every VM. */
export function startTraffic(
	vms: readonly SoakVm[],
	observations: Observations,
	random: RandomSource,
): Traffic {
	const {host, apiKey, paths, timeoutMs} = deployment;
	const stopping = new AbortController();
	let nextId = 1;

	const sendOne = async (caller: Caller, vm: number, kind: RequestKind) => {
		const isReport = kind === 'report';
		const outputTokens =
			minOutputTokens + Math.floor(random.nextUnit() * outputSpreadTokens);
		const attempt: ObservedRequest = {
			id: `${vm}-${nextId++}`,
			vm,
			kind,
			routeTimeoutMs: timeoutMs[kind],
			eventCount: isReport ? eventCountOf(outputTokens) : 0,
			sentMs: performance.now(),
			endedMs: undefined,
			status: undefined,
			stamp: undefined,
			retryAfter: undefined,
			body: '',
			isWhole: false,
			leftMs: undefined,
		};
		observations.attempts.push(attempt);
		await caller.send({
			attempt,
			path: `${paths[kind]}${attempt.id}`,
			timeoutMs: timeoutMs[kind],
			promptTokens,
			outputTokens,
			disconnectAfterMs:
				isReport && random.nextUnit() < leavingPart
					? minLeaveMs + random.nextUnit() * leaveSpreadMs
					: undefined,
		});
	};

	const loop = async (vm: SoakVm, isReport: boolean) => {
		const caller = createCaller({port: vm.callerProxy.port, host, apiKey});
		while (!stopping.signal.aborted) {
			await sendOne(
				caller,
				vm.index,
				isReport ? 'report' : kindOf(random.nextUnit()),
			);
			await sleep(minGapMs + random.nextUnit() * gapSpreadMs);
		}

		caller.dispose();
	};

	const loops = vms.flatMap((vm) => [
		...Array.from({length: callersPerVm}, async () => loop(vm, false)),
		...Array.from({length: reportCallersPerVm}, async () => loop(vm, true)),
	]);
	return {
		async stop() {
			stopping.abort();
			await Promise.all(loops);
		},
	};
}
