import {mkdtempSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '../../../experiments/fakes/index.js';
import {createFrontProcess} from '../../../experiments/fault-soak/front-process.js';
import {
	bootFile,
	createScriptedTarget,
	createStoreStandin,
	responseHead,
	targetRow,
} from '../../../platform/testing/index.js';
import {
	call,
	defaultRoutes,
	fixtureConfiguration,
	fixtureKey,
	listenOn,
	statusOf,
	until,
} from './front-fixture.js';

/** Limits of the process and of its VM in these tests. */
export type CrowdedDaemonLimits = {
	readonly maxHeapMb: number;
	/** Memory of the VM; the resident memory of the process must stay below it. */
	readonly memoryMb: number;
	readonly maxDescriptors: number;
};

/** Ports of a daemon that a crowd may press on. */
export type CrowdedPorts = {
	readonly front: number;
	readonly ready: number;
	readonly peer: number;
	readonly metrics: number;
};

/** A daemon in a process of its own, and what it has used so far. */
export type CrowdedDaemon = {
	readonly ports: CrowdedPorts;
	/** Exits of the process; empty while it lives. */
	readonly exits: readonly string[];
	/** Highest resident memory of the process, in megabytes. */
	readonly peakMemoryMb: number;
	/** Highest number of open descriptors that was seen. */
	readonly peakDescriptors: number;
	/** @returns status of an ordinary call to a plain service */
	ordinaryCall(): Promise<number>;
	/** @returns status of a readiness check as the load balancer sends it */
	readinessCheck(): Promise<number>;
};

/** Path of requests that the target of another service never answers. */
export const unansweredPath = '/mute/';
const muteRoute = {
	name: 'mute',
	prefix: unansweredPath,
	kind: 'non_idempotent',
	service: 'mute',
} as const;
const program = fileURLToPath(new URL('../../front.js', import.meta.url));
const sampleIntervalMs = 20;
const kilobytesPerMegabyte = 1024;

function readPeakMemoryMb(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const peakKb = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0);
	return peakKb / kilobytesPerMegabyte;
}

/** Highest values of a process, sampled until the test ends. */
function watchUsage(context: TestContext, pid: () => number | undefined) {
	const peak = {memoryMb: 0, descriptors: 0};
	const sample = () => {
		const id = pid();
		if (id === undefined) {
			return;
		}

		try {
			const descriptors = readdirSync(`/proc/${id}/fd`).length;
			peak.descriptors = Math.max(peak.descriptors, descriptors);
			peak.memoryMb = Math.max(peak.memoryMb, readPeakMemoryMb(id));
		} catch {
			// The process has ended since; its exit is reported by itself.
		}
	};

	const timer = setInterval(sample, sampleIntervalMs);
	context.after(() => {
		clearInterval(timer);
	});
	return {peak, sample};
}

/** Starts a store, a plain service and an engine, and registers both with the store. */
async function startSurroundings(context: TestContext) {
	const store = createStoreStandin();
	const target = createScriptedTarget((request, socket) => {
		if (request.head.startsWith('POST /report/')) {
			const event = 'id: 1\ndata: a\n\n';
			const head = responseHead(
				request,
				'Content-Type: text/event-stream',
				`Content-Length: ${event.length}`,
			);
			socket.write(head + event);
		} else {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		}
	});
	const mute = createScriptedTarget(() => {
		// Its requests stay open until the daemon gives them up.
	});
	const storePort = await listenOn(context, store.server);
	const address = `127.0.0.1:${await listenOn(context, target.server)}`;
	store.put(
		'op',
		'config',
		fixtureConfiguration(3, [fixtureKey], [...defaultRoutes, muteRoute]),
	);
	const muteAddress = `127.0.0.1:${await listenOn(context, mute.server)}`;
	store.put('servers', 'm1', targetRow('mute', muteAddress));
	store.put('servers', 't1', targetRow('desk', address));
	store.put('servers', 'e1', targetRow('model', address));
	return storePort;
}

/** Starts a daemon with small limits and waits until it serves. */
export async function startCrowdedDaemon(
	context: TestContext,
	{maxHeapMb, memoryMb, maxDescriptors}: CrowdedDaemonLimits,
): Promise<CrowdedDaemon> {
	const storePort = await startSurroundings(context);
	const [front, ready, peer, metrics] = await findFreePorts(4);
	const folder = mkdtempSync(path.join(tmpdir(), 'front-'));
	const bootFilePath = path.join(folder, 'boot');
	const boot = bootFile({front, ready, peer, store: storePort});
	const limits = {memory_mb: memoryMb, max_fds: maxDescriptors};
	writeFileSync(bootFilePath, JSON.stringify({...boot, limits}));
	const exits: string[] = [];
	const daemon = createFrontProcess({
		program,
		bootFilePath,
		maxHeapMb,
		metricsPort: metrics,
		onStart() {
			// The test waits for a response.
		},
		onEnd({cause}) {
			exits.push(cause);
		},
	});
	daemon.start();
	context.after(async () => daemon.end('SIGKILL', 0));
	const ordinaryCall = async () => statusOf(front, '/stock/ordinary');
	await until(async () => {
		try {
			return (await ordinaryCall()) === 200;
		} catch {
			return false;
		}
	});
	const {peak, sample} = watchUsage(context, () => daemon.pid);
	return {
		ports: {front, ready, peer, metrics},
		exits,
		get peakMemoryMb() {
			sample();
			return Math.round(peak.memoryMb);
		},
		get peakDescriptors() {
			sample();
			return peak.descriptors;
		},
		ordinaryCall,
		async readinessCheck() {
			const {status} = await call(ready, '/-/readyz');
			return status;
		},
	};
}
