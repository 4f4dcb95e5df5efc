import type {AddressInfo} from 'node:net';
import type {Disposable} from '../../common/index.js';
import {tableNames} from '../../platform/index.js';
import {
	createEngineStandin,
	createServiceStandin,
	type EnginesByAddress,
	type EngineStandin,
	type ServiceMode,
	type ServiceStandin,
	type StoreStandin,
	type TargetObserver,
	targetRow,
} from '../../platform/testing/index.js';
import {createLoopbackProxy, type LoopbackProxy} from './loopback-proxy.js';

/** A modelled target with its entry in the store and the proxy in front of it. */
export type SoakTarget = {
	readonly id: string;
	readonly service: string;
	readonly proxy: LoopbackProxy;
	/** The plain service that it is, if it is no engine. */
	readonly plainService: ServiceStandin | undefined;
	/** Says that the target leaves. */
	announceLeaving(): void;
	/** Ends everything that it does at once. */
	closeAbruptly(): void;
	/** Removes the target's entry from the store. */
	removeEntry(): void;
};

/** The modelled targets of a run. */
export type SoakTargets = Disposable & {
	/** Targets that have not begun to leave. */
	readonly active: readonly SoakTarget[];
	addEngine(): Promise<void>;
	addService(service: string): Promise<void>;
	/** Takes a target out of those present. */
	deactivate(target: SoakTarget): void;
	setMode(targets: readonly SoakTarget[], mode: ServiceMode): void;
};

/** Services of every run. */
export const soakServices = {plain: 'desk', engines: 'model'} as const;

const host = '127.0.0.1';
const workMs = 25;
const engineSize = {
	slotCount: 24,
	capacityTokens: 12_000,
	stepMs: 4,
	prefillPerTokenMs: 0.02,
};

type Standin = EngineStandin | ServiceStandin;

async function listen({server}: Standin): Promise<number> {
	return new Promise((resolve) => {
		server.listen(0, host, () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
}

/** Creates a fleet without targets. */
export function createSoakTargets(
	store: StoreStandin,
	observer: TargetObserver,
): SoakTargets {
	const all = new Set<SoakTarget>();
	const present = new Set<SoakTarget>();
	const enginesByAddress: EnginesByAddress = new Map();
	let nextNumber = 1;

	const register = (
		id: string,
		service: string,
		standin: Standin,
		proxy: LoopbackProxy,
	) => {
		const address = `${host}:${proxy.port}`;
		const put = (state: 'draining' | 'ready' | undefined) => {
			store.put(
				tableNames.targets,
				id,
				state && targetRow(service, address, state),
			);
		};

		const target: SoakTarget = {
			id,
			service,
			proxy,
			plainService: 'setMode' in standin ? standin : undefined,
			announceLeaving() {
				put('draining');
				if ('setLeaving' in standin) {
					standin.setLeaving();
				}
			},
			closeAbruptly() {
				standin.server.close();
				if ('crash' in standin) {
					standin.crash();
				} else {
					standin.resetConnections();
				}
			},
			removeEntry() {
				put(undefined);
			},
		};
		all.add(target);
		present.add(target);
		put('ready');
	};

	return {
		get active() {
			return [...present];
		},
		async addEngine() {
			const id = `engine-${nextNumber++}`;
			const standin = createEngineStandin({
				...engineSize,
				targetId: id,
				service: soakServices.engines,
				enginesByAddress,
				observer,
			});
			const proxy = await createLoopbackProxy(await listen(standin));
			enginesByAddress.set(`${host}:${proxy.port}`, standin);
			register(id, soakServices.engines, standin, proxy);
		},
		async addService(service) {
			const id = `${service}-${nextNumber++}`;
			const standin = createServiceStandin({
				targetId: id,
				service,
				workMs,
				observer,
			});
			const port = await listen(standin);
			register(id, service, standin, await createLoopbackProxy(port));
		},
		deactivate(target) {
			present.delete(target);
		},
		setMode(targets, mode) {
			for (const {plainService} of targets) {
				plainService?.setMode(mode);
			}
		},
		dispose() {
			for (const target of all) {
				target.closeAbruptly();
				target.proxy.dispose();
			}
		},
	};
}
