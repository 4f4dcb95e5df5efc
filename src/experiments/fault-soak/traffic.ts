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

/** Traffic of callers that send requests until stopped. */
export type Traffic = {
	/** Stops sending; resolves when the outcomes of all requests are known. */
	stop(): Promise<void>;
};

const callersPerVm = 3;
const reportCallersPerVm = 2;
const minGapMs = 10;
const gapSpreadMs = 40;
const promptTokens = 600;
const minOutputTokens = 60;
const outputSpreadTokens = 180;
/** One request in so many is longer by `longOutputTokens`, so that its run can continue from a backup. */
const longInterval = 4;
const longOutputTokens = 500;
/** Fraction of reports whose caller disconnects before the end. */
const disconnectFraction = 0.1;
const minDisconnectMs = 80;
const disconnectSpreadMs = 400;
/** While engines end under a prompt part, the reports among every so many requests have it. */
const crashingInterval = 3;
const kindFractions: ReadonlyArray<readonly [RequestKind, number]> = [
	['lookup', 0.55],
	['booking', 0.3],
	['moving', 0.15],
];

function kindForDraw(draw: number): RequestKind {
	let remaining = draw;
	for (const [kind, fraction] of kindFractions) {
		remaining -= fraction;
		if (remaining < 0) {
			return kind;
		}
	}

	return 'lookup';
}

/**
 * Starts callers at every VM: some send reports, the others a mix of the other kinds.
 * @param random - source of all choices
 */
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
		const number = nextId++;
		const outputTokens =
			minOutputTokens +
			Math.floor(random.nextUnit() * outputSpreadTokens) +
			(number % longInterval === 0 ? longOutputTokens : 0);
		const hasCrashingPart = isReport && number % crashingInterval === 0;
		const record: ObservedRequest = {
			id: `${vm}-${number}`,
			vm,
			kind,
			crashingPart: hasCrashingPart ? observations.crashingPart : undefined,
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
		observations.attempts.push(record);
		await caller.send({
			record,
			path: `${paths[kind]}${record.id}`,
			timeoutMs: timeoutMs[kind],
			promptTokens,
			outputTokens,
			disconnectAfterMs:
				isReport && random.nextUnit() < disconnectFraction
					? minDisconnectMs + random.nextUnit() * disconnectSpreadMs
					: undefined,
		});
	};

	const sendUntilStopped = async (vm: SoakVm, isReport: boolean) => {
		const caller = createCaller({port: vm.callerProxy.port, host, apiKey});
		while (!stopping.signal.aborted) {
			await sendOne(
				caller,
				vm.index,
				isReport ? 'report' : kindForDraw(random.nextUnit()),
			);
			await sleep(minGapMs + random.nextUnit() * gapSpreadMs);
		}

		caller.dispose();
	};

	const callerLoops = vms.flatMap((vm) => [
		...Array.from({length: callersPerVm}, async () =>
			sendUntilStopped(vm, false),
		),
		...Array.from({length: reportCallersPerVm}, async () =>
			sendUntilStopped(vm, true),
		),
	]);
	return {
		async stop() {
			stopping.abort();
			await Promise.all(callerLoops);
		},
	};
}
