import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {readyPath} from '../../platform/index.js';
import {
	bootFile,
	createStoreStandin,
	defaultPorts,
	type StoreStandin,
	type TargetObserver,
} from '../../platform/testing/index.js';
import {createFrontProcess, type FrontProcess} from './front-process.js';
import {createLoopbackProxy, type LoopbackProxy} from './loopback-proxy.js';
import type {Observations} from './observations.js';
import {bootBounds} from './soak-bounds.js';
import {createSoakTargets, type SoakTargets} from './soak-targets.js';

/** A VM: its daemon, and the proxies on its ways to callers and to the store. */
export type SoakVm = {
	readonly index: number;
	readonly process: FrontProcess;
	readonly callerProxy: LoopbackProxy;
	readonly storeProxy: LoopbackProxy;
	isReady(): Promise<boolean>;
};

/** All processes and modelled systems of a run. */
export type SoakFleet = {
	readonly store: StoreStandin;
	readonly targets: SoakTargets;
	readonly vms: readonly SoakVm[];
	/** Ends all processes and releases all ports. */
	stop(): Promise<void>;
};

const host = '127.0.0.1';
const stopGraceMs = 5000;
const bytesPerPart = 256;

let nextAddress = 1;

/** Every VM has an address of its own in 127.0.0.0/8, so that no run takes another's ports. */
function freshLoopbackAddress(): string {
	const number = nextAddress++;
	const run = 1 + (process.pid % (bytesPerPart - 2));
	const part = Math.floor(process.pid / (bytesPerPart - 2)) % bytesPerPart;
	return `127.${run}.${(part + Math.floor(number / (bytesPerPart - 2))) % bytesPerPart}.${1 + (number % (bytesPerPart - 2))}`;
}

function observe(observations: Observations): TargetObserver {
	const open = new Map<unknown, {endMs: number | undefined}>();
	const told = (arrival: Parameters<TargetObserver['arrived']>[0]) => ({
		requestId: arrival.request.id,
		targetId: arrival.targetId,
		service: arrival.service,
		isContinuation: arrival.continueFrom !== undefined,
	});
	return {
		arrived(arrival) {
			observations.arrivals.push({...told(arrival), atMs: arrival.atMs});
		},
		started(arrival) {
			const work = {
				...told(arrival),
				startMs: performance.now(),
				endMs: undefined,
			};
			open.set(arrival, work);
			observations.works.push(work);
		},
		stopped(arrival) {
			const work = open.get(arrival);
			open.delete(arrival);
			if (work) {
				work.endMs = performance.now();
			}
		},
	};
}

type VmSurroundings = {
	readonly storePort: number;
	/** Folder of the boot files. */
	readonly directory: string;
	readonly program: string;
	readonly observations: Observations;
};

async function createVm(
	index: number,
	{storePort, directory, program, observations}: VmSurroundings,
): Promise<SoakVm> {
	const ip = freshLoopbackAddress();
	const storeProxy = await createLoopbackProxy(storePort);
	const file = path.join(directory, `vm-${index}.json`);
	const boot = bootFile(
		{...defaultPorts, store: storeProxy.port},
		{name: `vm-${index}`, ip, bounds: bootBounds},
	);
	writeFileSync(file, JSON.stringify(boot));
	return {
		index,
		storeProxy,
		callerProxy: await createLoopbackProxy(defaultPorts.front, ip),
		process: createFrontProcess({
			program,
			bootFilePath: file,
			onStart() {
				observations.incarnations.push({
					vm: index,
					startMs: performance.now(),
					endMs: Infinity,
					ownEnd: undefined,
					signalledCpuMs: 0,
				});
			},
			onEnd({isUnexpected, cause, signalledCpuMs}) {
				const last = observations.incarnations.findLast(({vm}) => vm === index);
				if (last) {
					last.endMs = performance.now();
					last.ownEnd = isUnexpected ? cause : undefined;
					last.signalledCpuMs = signalledCpuMs;
				}
			},
		}),
		async isReady() {
			try {
				const answer = await fetch(
					`http://${ip}:${defaultPorts.ready}${readyPath}`,
				);
				return answer.ok;
			} catch {
				// Nothing listens yet.
				return false;
			}
		},
	};
}

/**
 * Creates the systems of a run; no daemon is started yet.
 * @param program - compiled file of the front daemon
 */
export async function createSoakFleet(
	vmCount: number,
	program: string,
	observations: Observations,
): Promise<SoakFleet> {
	const directory = mkdtempSync(path.join(tmpdir(), 'fault-soak-'));
	const store = createStoreStandin();
	const storePort = await new Promise<number>((resolve) => {
		store.server.listen(0, host, () => {
			resolve((store.server.address() as AddressInfo).port);
		});
	});
	const targets = createSoakTargets(store, observe(observations));
	const vms: SoakVm[] = [];
	for (let index = 0; index < vmCount; index++) {
		vms.push(
			await createVm(index, {storePort, directory, program, observations}),
		);
	}

	return {
		store,
		targets,
		vms,
		async stop() {
			await Promise.all(
				vms.map(async (vm) => vm.process.end('SIGTERM', stopGraceMs)),
			);
			for (const {callerProxy, storeProxy} of vms) {
				callerProxy.dispose();
				storeProxy.dispose();
			}

			targets.dispose();
			store.server.close();
			store.server.closeAllConnections();
			rmSync(directory, {recursive: true});
		},
	};
}
