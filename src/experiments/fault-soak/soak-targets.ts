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
	type StreamFault,
	type TargetObserver,
	type TargetStatement,
	targetRow,
} from '../../platform/testing/index.js';
import {createLoopbackProxy, type LoopbackProxy} from './loopback-proxy.js';

/** A stand-in target with its entry in the store and the proxy in front of it. */
export type SoakTarget = {
	readonly id: string;
	readonly service: string;
	readonly proxy: LoopbackProxy;
	/** Stand-in of a plain service; undefined for an engine. */
	readonly plainService: ServiceStandin | undefined;
	/** Announces in the store that the target is leaving; an engine also reports it itself. */
	announceLeaving(): void;
	/** Closes the listener and resets all connections. */
	closeAbruptly(): void;
	/** Sets the rate limit that the target names in its responses; undefined for none. */
	setRateLimit(requestsPerSecond: number | undefined): void;
	/** Sets what the target says of itself in its responses; undefined for nothing. */
	setStatement(statement: TargetStatement | undefined): void;
	/** Sets what is wrong with the streams of an engine; plain services have none. */
	setStreamFault(fault: StreamFault | undefined): void;
	/** Removes the target's entry from the store. */
	removeEntry(): void;
};

/** The stand-in targets of a run. */
export type SoakTargets = Disposable & {
	/** Targets that are neither leaving nor crashed. */
	readonly active: readonly SoakTarget[];
	/** Starts an engine and registers it in the store. */
	addEngine(): Promise<void>;
	/** Starts a plain service and registers it in the store. */
	addService(service: string): Promise<void>;
	/** Removes a target from `active`. */
	deactivate(target: SoakTarget): void;
	/**
	 * Sets the prompt part under which all engines end, those added later included.
	 * @param onCrash - called with the engine, which goes on until it is closed
	 * @param eventsBefore - events that a run with the part sends before
	 */
	setCrashingPart(
		partId: string | undefined,
		onCrash: (target: SoakTarget) => void,
		eventsBefore: number,
	): void;
	/** Sets the mode of the plain services among some targets. */
	setMode(targets: readonly SoakTarget[], mode: ServiceMode): void;
};

/** Names of the services that every run has. */
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

/** Creates an empty set of targets. */
export function createSoakTargets(
	store: StoreStandin,
	observer: TargetObserver,
): SoakTargets {
	const all = new Set<SoakTarget>();
	const activeTargets = new Set<SoakTarget>();
	const enginesByAddress: EnginesByAddress = new Map();
	const engines = new Map<SoakTarget, EngineStandin>();
	let nextNumber = 1;
	let crashingPart: string | undefined;
	let onCrashingPart: ((target: SoakTarget) => void) | undefined;
	let eventsBeforeCrash = 0;

	const applyCrashingPart = (target: SoakTarget, standin: EngineStandin) => {
		standin.setCrashingPart(
			crashingPart,
			() => {
				onCrashingPart?.(target);
			},
			eventsBeforeCrash,
		);
	};

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
			setRateLimit: standin.setRateLimit,
			setStatement: standin.setStatement,
			setStreamFault(fault) {
				if ('setStreamFault' in standin) {
					standin.setStreamFault(fault);
				}
			},
			removeEntry() {
				put(undefined);
			},
		};
		all.add(target);
		if ('crash' in standin) {
			engines.set(target, standin);
			applyCrashingPart(target, standin);
		}

		activeTargets.add(target);
		put('ready');
	};

	return {
		get active() {
			return [...activeTargets];
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
		setCrashingPart(partId, onCrash, eventsBefore) {
			crashingPart = partId;
			onCrashingPart = onCrash;
			eventsBeforeCrash = eventsBefore;
			for (const [target, standin] of engines) {
				applyCrashingPart(target, standin);
			}
		},
		deactivate(target) {
			activeTargets.delete(target);
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
