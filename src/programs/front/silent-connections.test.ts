import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {suite, test, type TestContext} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {createLoopbackProxy} from '../../experiments/fault-soak/loopback-proxy.js';
import {
	createEngineStandin,
	createStoreStandin,
	type EnginesByAddress,
	eventText,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	fixtureKey,
	listenOn,
	startDaemon,
	until,
} from './testing/index.js';

/** Time in which an engine notices that its run goes on elsewhere, in milliseconds. */
const handoverMs = 400;
const tokensPerEvent = 4;
const eventCount = 200;
const promptTokens = 200;
const routes = [
	{
		name: 'report',
		prefix: '/report/',
		kind: 'stream',
		service: 'model',
		timeoutMs: 39_000,
	},
] as const;

/** Time in which the VMs of a fleet find each other; until then they have no retry budget, in milliseconds. */
const fleetDiscoveryMs = 2500;

const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

type Work = {
	readonly requestId: string;
	readonly engineId: string;
	readonly startMs: number;
	endMs: number;
};

/** Starts daemons in front of engines whose connections can be made silent. */
async function start(
	context: TestContext,
	vmIps: readonly string[],
	prefillMs: number,
) {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	const enginesByAddress: EnginesByAddress = new Map();
	const works: Work[] = [];
	const proxies = await Promise.all(
		[1, 2, 3].map(async (number) => {
			const engineId = `e${number}`;
			const engine = createEngineStandin({
				targetId: engineId,
				service: 'model',
				enginesByAddress,
				slotCount: 24,
				capacityTokens: 20_000,
				stepMs: 8,
				prefillPerTokenMs: prefillMs / promptTokens,
				observer: {
					arrived() {
						// Only what an engine works on counts here.
					},
					started({request}) {
						works.push({
							requestId: request.id,
							engineId,
							startMs: performance.now(),
							endMs: Infinity,
						});
					},
					stated() {
						// The engines state nothing of themselves.
					},
					stopped({request}) {
						const work = works.findLast(
							(each) =>
								each.requestId === request.id && each.engineId === engineId,
						);
						if (work) {
							work.endMs = performance.now();
						}
					},
				},
			});
			const proxy = await createLoopbackProxy(
				await listenOn(context, engine.server),
			);
			context.after(() => {
				proxy.dispose();
			});
			const address = `127.0.0.1:${proxy.port}`;
			enginesByAddress.set(address, engine);
			store.put('servers', engineId, targetRow('model', address, 'ready', 24));
			return proxy;
		}),
	);
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
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
	await until(async () => {
		const ready = await Promise.all(daemons.map(async (vm) => vm.isReady()));
		return ready.every(Boolean);
	});
	await sleep(fleetDiscoveryMs);
	const addresses = vmIps.map((host) => ({host, port: ports[0]}));
	return {addresses, works, proxies};
}

const wholeStream = (id: string) =>
	Array.from({length: eventCount}, (_, index) => eventText(id, index + 1)).join(
		'',
	);

/** Runs that go on at a second engine while the one before still works on them. */
function overlapsOf(works: readonly Work[]) {
	return works.filter((second) =>
		works.some(
			(first) =>
				first.requestId === second.requestId &&
				first.startMs < second.startMs &&
				first.endMs > second.startMs + handoverMs,
		),
	);
}

suite('connections to engines go silent for good', {concurrency: true}, () => {
	for (const [when, scenario, prefillMs, silentAfterMs] of [
		['in the middle of their streams', 60, 40, 400],
		['before the first events', 61, 1500, 800],
	] as const) {
		test(`no stream goes on at a second engine while the first works on it, and each is served whole: ${when} (review case 8)`, async (context) => {
			const vmIps = [1, 2].map((vm) => `127.0.${scenario}.${vm}`);
			const {addresses, works, proxies} = await start(
				context,
				vmIps,
				prefillMs,
			);
			const ids = Array.from({length: 6}, (_, index) => `r${index}`);
			const responses = ids.map(async (id, index) =>
				call(
					addresses[index % addresses.length],
					`/report/${id}`,
					{
						'Cowslipspread-Attempt-Id': id,
						'Cowslipspread-Deadline-Ms': '39000',
						'Cowslipspread-Model': 'm',
						'Cowslipspread-Token-Counts': `${promptTokens},${eventCount * tokensPerEvent}`,
						'Cowslipspread-Prompt-Prefix': `a1:79,${Buffer.from(id).toString('hex')}:121`,
					},
					'POST',
				),
			);
			await sleep(silentAfterMs);
			for (const proxy of proxies) {
				proxy.setFault('silence');
				proxy.setFault(undefined);
			}

			const received = await Promise.all(responses);
			assert.deepEqual(overlapsOf(works), []);
			assert.ok(works.length > ids.length, 'streams went on elsewhere');
			for (const [index, {status, body}] of received.entries()) {
				assert.equal(status, 200);
				assert.equal(body, wholeStream(ids[index]));
			}
		});
	}
});
