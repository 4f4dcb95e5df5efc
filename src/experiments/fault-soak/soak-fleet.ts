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

/** A VM: its daemon and the proxies on its links to callers and to the store. */
export type SoakVm = {
	readonly index: number;
	readonly process: FrontProcess;
	readonly callerProxy: LoopbackProxy;
	readonly storeProxy: LoopbackProxy;
	/** Queries the readiness endpoint; false if nothing listens there. */
	isReady(): Promise<boolean>;
};

/** The VMs, targets and store of a run. */
export type SoakFleet = {
	readonly store: StoreStandin;
	readonly targets: SoakTargets;
	readonly vms: readonly SoakVm[];
	/** Stops all processes and closes all listeners. */
	stop(): Promise<void>;
};

const host = '127.0.0.1';
const shutdownGraceMs = 5000;
const valuesPerOctet = 256;

let nextAddress = 1;

/**
 * Returns a new address in 127.0.0.0/8 for a VM. It depends on the process id too, so that VMs of
 * concurrent runs do not contend for the same address and port.
 */
function nextLoopbackAddress(): string {
	const number = nextAddress++;
	const secondOctet = 1 + (process.pid % (valuesPerOctet - 2));
	const thirdOctet =
		Math.floor(process.pid / (valuesPerOctet - 2)) % valuesPerOctet;
	return `127.${secondOctet}.${(thirdOctet + Math.floor(number / (valuesPerOctet - 2))) % valuesPerOctet}.${1 + (number % (valuesPerOctet - 2))}`;
}

/** Creates an observer that records arrivals and executions at the targets. */
function createTargetObserver(observations: Observations): TargetObserver {
	const running = new Map<unknown, {endMs: number | undefined}>();
	const describe = (arrival: Parameters<TargetObserver['arrived']>[0]) => ({
		requestId: arrival.request.id,
		targetId: arrival.targetId,
		service: arrival.service,
		isContinuation: arrival.continueFrom !== undefined,
	});
	return {
		arrived(arrival) {
			observations.arrivals.push({...describe(arrival), atMs: arrival.atMs});
		},
		started(arrival) {
			const execution = {
				...describe(arrival),
				startMs: performance.now(),
				endMs: undefined,
			};
			running.set(arrival, execution);
			observations.works.push(execution);
		},
		stated(arrival, statement) {
			const {requestId, targetId} = describe(arrival);
			const atMs = performance.now();
			observations.statements.push({requestId, targetId, statement, atMs});
		},
		stopped(arrival) {
			const execution = running.get(arrival);
			running.delete(arrival);
			if (execution) {
				execution.endMs = performance.now();
			}
		},
	};
}

type VmContext = {
	readonly storePort: number;
	/** Directory for the boot files. */
	readonly directory: string;
	readonly program: string;
	readonly observations: Observations;
};

async function createVm(
	index: number,
	{storePort, directory, program, observations}: VmContext,
): Promise<SoakVm> {
	const ip = nextLoopbackAddress();
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
				const response = await fetch(
					`http://${ip}:${defaultPorts.ready}${readyPath}`,
				);
				return response.ok;
			} catch {
				// The daemon does not listen (yet).
				return false;
			}
		},
	};
}

/**
 * Creates the store and the VMs of a run. The fleet has no targets yet, and no daemon is started.
 * @param program - path of the compiled front daemon
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
	const targets = createSoakTargets(store, createTargetObserver(observations));
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
				vms.map(async (vm) => vm.process.end('SIGTERM', shutdownGraceMs)),
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
