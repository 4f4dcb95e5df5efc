import {Buffer} from 'node:buffer';
import type {TestContext} from 'node:test';
import {findFreePorts} from '../../../experiments/fakes/index.js';
import {
	createLoopbackProxy,
	type LoopbackProxy,
} from '../../../experiments/fault-soak/loopback-proxy.js';
import {
	createEngineStandin,
	createStoreStandin,
	type EnginesByAddress,
	type EngineStandin,
	eventText,
	targetRow,
} from '../../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	fixtureKey,
	listenOn,
	startDaemon,
	until,
} from './front-fixture.js';

/** Work of an engine on a request; the times are monotonic, in milliseconds. */
export type EngineWork = {
	readonly requestId: string;
	readonly engineId: string;
	readonly startMs: number;
	endMs: number;
};

export type EngineFleetOptions = {
	readonly context: TestContext;
	readonly vmIps: readonly string[];
	readonly engineCount: number;
	/** Time from the arrival of a request to its first event, in milliseconds. */
	readonly prefillMs: number;
	/** Events of a whole stream. */
	readonly eventCount: number;
};

const service = 'model';
const promptTokens = 200;
const tokensPerEvent = 4;
const stepMs = 8;
/** Time in which the VMs of a fleet find each other; until then they have no retry budget, in milliseconds. */
export const fleetDiscoveryMs = 2500;
const routes = [
	{
		name: 'report',
		prefix: '/report/',
		kind: 'stream',
		service,
		timeoutMs: 39_000,
	},
] as const;

/** Waits for real time to pass. */
export const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

/** Starts VMs in front of engine stand-ins, each behind a proxy, and waits until they have a retry budget. */
export async function startEngineFleet({
	context,
	vmIps,
	engineCount,
	prefillMs,
	eventCount,
}: EngineFleetOptions) {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	const enginesByAddress: EnginesByAddress = new Map();
	const works: EngineWork[] = [];

	const startEngine = async (engineId: string) => {
		const engine: EngineStandin = createEngineStandin({
			targetId: engineId,
			service,
			enginesByAddress,
			slotCount: 24,
			capacityTokens: 20_000,
			stepMs,
			prefillPerTokenMs: prefillMs / promptTokens,
			observer: {
				arrived() {
					// Only what an engine works on counts in these tests.
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
		const port = await listenOn(context, engine.server);
		const proxy: LoopbackProxy = await createLoopbackProxy(port);
		context.after(() => {
			proxy.dispose();
		});
		const address = `127.0.0.1:${proxy.port}`;
		enginesByAddress.set(address, engine);
		store.put('servers', engineId, targetRow(service, address, 'ready', 24));
		return {engine, proxy};
	};

	const engines = await Promise.all(
		Array.from({length: engineCount}, async (_, index) =>
			startEngine(`e${index + 1}`),
		),
	);
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
	const ports = await findFreePorts(3);
	const vms = await Promise.all(
		vmIps.map(async (ip, index) =>
			startDaemon(context, storePort, ports, {
				name: `vm-${index}`,
				ip,
				seedIps: vmIps,
			}),
		),
	);
	await until(async () => {
		const ready = await Promise.all(vms.map(async (vm) => vm.isReady()));
		return ready.every(Boolean);
	});
	await sleep(fleetDiscoveryMs);

	return {
		vms,
		engines,
		/** What the engines have worked on, in the order of its start. */
		works,
		/** Sends a request for a stream to a VM. */
		async stream(vmIndex: number, id: string) {
			return call(
				{host: vmIps[vmIndex], port: ports[0]},
				`/report/${id}`,
				{
					'Cowslipspread-Attempt-Id': id,
					'Cowslipspread-Deadline-Ms': '39000',
					'Cowslipspread-Model': 'm',
					'Cowslipspread-Token-Counts': `${promptTokens},${eventCount * tokensPerEvent}`,
					'Cowslipspread-Prompt-Prefix': `a1:79,${Buffer.from(id).toString('hex')}:121`,
				},
				'POST',
			);
		},
		/** Body of the whole stream of a request. */
		wholeStream: (id: string) =>
			Array.from({length: eventCount}, (_, index) =>
				eventText(id, index + 1),
			).join(''),
	};
}
