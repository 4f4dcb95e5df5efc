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
export type FleetTarget = {
	readonly id: string;
	readonly service: string;
	readonly proxy: LoopbackProxy;
	/** The plain service that it is, if it is no engine. */
	readonly plain: ServiceStandin | undefined;
	/** Says that the target leaves. */
	announce(): void;
	/** Ends everything that it does at once. */
	crash(): void;
	/** Removes the target's entry from the store. */
	withdraw(): void;
};

/** The modelled targets of a run. */
export type TargetFleet = Disposable & {
	/** Targets that have not begun to leave. */
	readonly present: readonly FleetTarget[];
	addEngine(): Promise<void>;
	addService(service: string): Promise<void>;
	/** Takes a target out of those present. */
	remove(target: FleetTarget): void;
	setMode(targets: readonly FleetTarget[], mode: ServiceMode): void;
};

/** Services of every run. */
export const fleetServices = {plain: 'desk', engines: 'model'} as const;

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
export function createTargetFleet(
	store: StoreStandin,
	observer: TargetObserver,
): TargetFleet {
	const all = new Set<FleetTarget>();
	const present = new Set<FleetTarget>();
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

		const target: FleetTarget = {
			id,
			service,
			proxy,
			plain: 'setMode' in standin ? standin : undefined,
			announce() {
				put('draining');
				if ('setLeaving' in standin) {
					standin.setLeaving();
				}
			},
			crash() {
				standin.server.close();
				if ('crash' in standin) {
					standin.crash();
				} else {
					standin.resetConnections();
				}
			},
			withdraw() {
				put(undefined);
			},
		};
		all.add(target);
		present.add(target);
		put('ready');
	};

	return {
		get present() {
			return [...present];
		},
		async addEngine() {
			const id = `engine-${nextNumber++}`;
			const standin = createEngineStandin({
				...engineSize,
				targetId: id,
				service: fleetServices.engines,
				enginesByAddress,
				observer,
			});
			const proxy = await createLoopbackProxy(await listen(standin));
			enginesByAddress.set(`${host}:${proxy.port}`, standin);
			register(id, fleetServices.engines, standin, proxy);
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
		remove(target) {
			present.delete(target);
		},
		setMode(targets, mode) {
			for (const {plain} of targets) {
				plain?.setMode(mode);
			}
		},
		dispose() {
			for (const target of all) {
				target.crash();
				target.proxy.dispose();
			}
		},
	};
}
