import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {createStoreStandin} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	type FixtureResponse,
	listenOn,
	startCrashingEngines,
	startDaemon,
	until,
} from './testing/index.js';

const crashingPart = 'c4a5';
/** Crashes after which the part must be known. */
const crashCount = 5;
/** Time after the last of these crashes in which all VMs learn of it, in milliseconds. */
const contactMs = 3000;
/** Requests with the part that may reach engines after that time. */
const maxLaterArrivals = 3;
const minSoundFraction = 0.9;
const requestIntervalMs = 50;
/** One request in so many has the part. */
const crashingInterval = 4;
const durationMs = 8000;
const eventCount = 8;

type SentRequest = {
	readonly sentMs: number;
	readonly isCrashing: boolean;
	readonly response: Promise<FixtureResponse>;
};

const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

/** Headers of a generation; the prompts share the first part, and in turn the second. */
function generationHeaders(index: number, isCrashing: boolean) {
	const parts = [
		'a1:80',
		`b${index % 7}:300`,
		...(isCrashing ? [`${crashingPart}:200`] : []),
		`d${index}:40`,
	];
	return {
		'Cowslipspread-Attempt-Id': `q${index}`,
		'Cowslipspread-Model': 'm',
		'Cowslipspread-Token-Counts': '620,40',
		'Cowslipspread-Prompt-Prefix': parts.join(','),
		'Cowslipspread-Deadline-Ms': '6000',
	};
}

/**
 * Plays engines that end under a part.
 * @param eventsBeforeCrash - events of the response that an engine sends before it ends
 */
async function assertHeldBack(
	context: TestContext,
	vmIps: readonly string[],
	eventsBeforeCrash: number,
) {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	store.put('op', 'config', fixtureConfiguration(3));
	const engines = await startCrashingEngines({
		context,
		store,
		count: 6,
		crashingPart,
		eventsBeforeCrash,
		eventCount,
		restartMs: 800,
	});
	const ports = await findFreePorts(3);
	const daemons = await Promise.all(
		vmIps.map(async (ip, index) =>
			startDaemon(context, storePort, ports, {
				name: `vm-${index}`,
				ip,
				seedIps: vmIps,
			}),
		),
	);
	for (const daemon of daemons) {
		await until(daemon.isReady);
	}

	const requests: SentRequest[] = [];
	const endMs = performance.now() + durationMs;
	for (let index = 0; performance.now() < endMs; index++) {
		const address = {host: vmIps[index % vmIps.length], port: ports[0]};
		const isCrashing = index % crashingInterval === 0;
		const headers = generationHeaders(index, isCrashing);
		requests.push({
			sentMs: performance.now(),
			isCrashing,
			response: call(address, `/report/${index}`, headers, 'POST'),
		});
		await sleep(requestIntervalMs);
	}

	await Promise.all(requests.map(async (request) => request.response));
	const boundMs = (engines.crashesMs[crashCount - 1] ?? Infinity) + contactMs;
	const later = engines.arrivalsMs.filter((atMs) => atMs > boundMs).length;
	assert.ok(
		later <= maxLaterArrivals,
		`${later} requests with the part reached engines later than ${contactMs} ms after the fifth crash, ${engines.crashesMs.length} engines ended`,
	);
	const sinceMs = Math.min(boundMs, endMs - contactMs);
	const laterSound = requests.filter(
		({sentMs, isCrashing}) => !isCrashing && sentMs > sinceMs,
	);
	const responses = await Promise.all(
		laterSound.map(async (request) => request.response),
	);
	const served = responses.filter(({status}) => status === 200).length;
	assert.ok(
		served >= responses.length * minSoundFraction,
		`${served} of ${responses.length} sound requests were served`,
	);
}

const title =
	'requests whose prompts share a part that ends engines are not sent on after five engines have ended (altiplano, inc1)';

test(title, {concurrency: true}, async (context) => {
	const cases = [
		['before the first event', 0],
		['after the first event (review case 2)', 1],
		['after five events', 5],
	] as const;
	await Promise.all(
		cases.map(async ([name, eventsBeforeCrash], index) =>
			context.test(`when they end ${name}`, async (subContext) => {
				const vmIps = [1, 2, 3].map((vm) => `127.0.${21 + index}.${vm}`);
				await assertHeldBack(subContext, vmIps, eventsBeforeCrash);
			}),
		),
	);
});
