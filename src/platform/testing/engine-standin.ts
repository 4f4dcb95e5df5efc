import type {ServerResponse} from 'node:http';
import {
	createEngineSimulation,
	type SimulatedGeneration,
} from '../../standins/engine/engine-simulation.js';
import {targetPaths} from '../wire-names.js';
import {createEngineCopies, type StoredCopy} from './engine-copies.js';
import {resetSocket} from './reset-socket.js';
import {
	damageEvent,
	type StreamFault,
	writeWithoutEnd,
} from './stream-fault.js';
import {
	beginResponse,
	createTargetServer,
	refuse,
	type TargetArrival,
	type TargetObserver,
	type TargetServer,
} from './target-server.js';

/** Engines by the addresses at which they reach each other for KV cache copies. */
export type EnginesByAddress = Map<string, EngineStandin>;

export type EngineStandinOptions = {
	readonly targetId: string;
	readonly service: string;
	readonly enginesByAddress: EnginesByAddress;
	readonly slotCount: number;
	/** Size of the KV cache, in tokens. */
	readonly capacityTokens: number;
	/** Duration of a decoding step, in milliseconds. */
	readonly stepMs: number;
	/** Prefill time per prompt token, in milliseconds. */
	readonly prefillPerTokenMs: number;
	readonly observer: TargetObserver;
};

/** Simulated engine that streams events, copies the KV cache of runs and continues runs from copies. */
export type EngineStandin = TargetServer & {
	/** Stores a copy of a run's KV cache. @returns false if the engine has crashed or has no room */
	storeKvCacheCopy(handle: string, copy: StoredCopy): boolean;
	/** Simulates a crash: ends all runs, resets all connections and stores no further copies. */
	crash(): void;
	/**
	 * Sets the prompt part under which this engine ends.
	 * @param onCrash - called in place of the next event of a run with the part
	 * @param eventsBefore - events that such a run sends before; 0 by default
	 */
	setCrashingPart(
		partId: string | undefined,
		onCrash: () => void,
		eventsBefore?: number,
	): void;
	/** Sets what is wrong with the engine's streams; undefined for nothing. */
	setStreamFault(fault: StreamFault | undefined): void;
	/** Makes the load reports state that the engine is draining. */
	setLeaving(): void;
	/** Sets whether the engine stores copies of the KV cache of other engines' runs; true at the start. */
	setRoomForCopies(hasRoom: boolean): void;
	/** Makes no events for some time, in milliseconds; the runs and their connections stay. */
	pause(durationMs: number): void;
};

type Run = SimulatedGeneration & {
	readonly arrival: TargetArrival;
	readonly response: ServerResponse;
	/** Id of the first event that this run sends; greater than 1 if it continues a stream. */
	readonly firstEvent: number;
};

const tokensPerEvent = 4;
const backupIntervalMs = 100;
const maxQueued = 8;

/** @returns number of events in the response to a request */
export function eventCountOf(maxOutputTokens: number): number {
	return Math.max(1, Math.ceil(maxOutputTokens / tokensPerEvent));
}

/** @returns an event of a stream as on the wire */
export function eventText(requestId: string, id: number): string {
	return `id: ${id}\ndata: ${requestId} ${id}\n\n`;
}

/** Creates an idle engine. The caller makes the server listen. */
export function createEngineStandin(
	options: EngineStandinOptions,
): EngineStandin {
	const {observer, enginesByAddress, capacityTokens} = options;
	const simulation = createEngineSimulation<Run>({
		capacityTokens,
		maxRunning: options.slotCount,
		stepBaseMs: options.stepMs,
		stepPerRunningMs: 0,
		prefillPerTokenMs: options.prefillPerTokenMs,
	});
	const runs = new Map<string, Run>();
	const copies = createEngineCopies({
		eventCountOf(requestId) {
			const run = runs.get(requestId);
			return run && lastEventOf(run);
		},
		stopRun(requestId) {
			const run = runs.get(requestId);
			if (run) {
				simulation.cancel(run.id);
				endRun(run, false);
				run.response.destroy();
			}
		},
		storeAt: (address, handle, copy) =>
			enginesByAddress.get(address)?.storeKvCacheCopy(handle, copy) ?? false,
	});
	let stepTimer: NodeJS.Timeout | undefined;
	let hasCrashed = false;
	/** Monotonic time until which no events are made, in milliseconds. */
	let pausedUntilMs = 0;
	let isLeaving = false;
	let crashingPart: string | undefined;
	let onCrashingPart: (() => void) | undefined;
	let eventsBeforeCrash = 0;
	let streamFault: StreamFault | undefined;

	const hasCrashingPart = ({arrival: {request}}: Run) =>
		request.generation?.promptParts.some(({id}) => id === crashingPart) ??
		false;

	const lastEventOf = (run: Run) => {
		const scheduled = [...simulation.running, ...simulation.waiting].find(
			({generation}) => generation === run,
		);
		const producedEvents = Math.floor(
			(scheduled?.producedTokens ?? 0) / tokensPerEvent,
		);
		return run.firstEvent - 1 + producedEvents;
	};

	const writeEvent = ({id, response}: Run, event: number) => {
		const text = eventText(id, event);
		if (streamFault === 'endless') {
			writeWithoutEnd(response);
		} else {
			response.write(
				streamFault === 'damaged' ? damageEvent(text, event) : text,
			);
		}
	};

	const endRun = (run: Run, isFinished: boolean) => {
		if (runs.get(run.id) === run) {
			runs.delete(run.id);
			observer.stopped(run.arrival, isFinished);
		}
	};

	const step = () => {
		stepTimer = undefined;
		const pauseMs = pausedUntilMs - performance.now();
		if (pauseMs > 0) {
			schedule(pauseMs);
			return;
		}

		const {durationMs, produced, finished} = simulation.step();
		const crashes = produced.some(
			({generation, producedTokens}) =>
				hasCrashingPart(generation) &&
				producedTokens > eventsBeforeCrash * tokensPerEvent,
		);
		if (crashes) {
			onCrashingPart?.();
			return;
		}

		for (const {generation, producedTokens} of produced) {
			if (producedTokens % tokensPerEvent === 0) {
				const event =
					generation.firstEvent - 1 + producedTokens / tokensPerEvent;
				writeEvent(generation, event);
			}
		}

		for (const {generation} of finished) {
			endRun(generation, true);
			generation.response.end();
		}

		schedule(durationMs);
	};

	const schedule = (delayMs: number) => {
		if (simulation.runningCount + simulation.waitingCount > 0 && !hasCrashed) {
			stepTimer ??= setTimeout(step, delayMs);
		}
	};

	const startBackup = (run: Run, address: string) => {
		const timer = setInterval(() => {
			if (runs.get(run.id) !== run) {
				clearInterval(timer);
				return;
			}

			enginesByAddress.get(address)?.storeKvCacheCopy(run.id, {
				requestId: run.id,
				eventCount: lastEventOf(run),
			});
		}, backupIntervalMs);
	};

	const start = (
		arrival: TargetArrival,
		response: ServerResponse,
		copy: StoredCopy | undefined,
	) => {
		const {request, lastEventId = 0} = arrival;
		const parameters = request.generation;
		const total = eventCountOf(parameters?.maxOutputTokens ?? 0);
		const promptTokens = parameters?.promptTokens ?? 0;
		const run: Run = {
			id: request.id,
			arrival,
			response,
			promptTokens: copy
				? promptTokens + lastEventId * tokensPerEvent
				: promptTokens,
			reusedTokens: copy ? promptTokens + copy.eventCount * tokensPerEvent : 0,
			outputTokens: Math.max(1, total - lastEventId) * tokensPerEvent,
			firstEvent: lastEventId + 1,
			priority: arrival.priority,
			finishReason: 'stop',
		};
		runs.set(run.id, run);
		observer.started(arrival);
		beginResponse(arrival, response, 200, {
			'Content-Type': 'text/event-stream',
		});
		response.flushHeaders();
		response.on('close', () => {
			simulation.cancel(run.id);
			endRun(run, false);
		});
		simulation.submit(run);
		schedule(0);
		if (arrival.backupAddress !== undefined) {
			startBackup(run, arrival.backupAddress);
		}
	};

	/** Begins a run, and loses it with its connection. */
	const drop = (arrival: TargetArrival, {socket}: ServerResponse) => {
		observer.started(arrival);
		observer.stopped(arrival, false);
		if (socket) {
			resetSocket(socket);
		}
	};

	const report = (response: ServerResponse) => {
		response.end(
			JSON.stringify({
				queued: simulation.waitingCount,
				running: simulation.runningCount,
				kv_used: simulation.usedTokens,
				kv_total: capacityTokens,
				runs: simulation.running.map(({generation: run}) => [
					run.id,
					run.promptTokens,
					lastEventOf(run),
					run.priority,
				]),
				...(isLeaving ? {state: 'draining'} : {}),
			}),
		);
	};

	const server = createTargetServer(
		{
			...options,
			serve(arrival, response) {
				const handle = arrival.continueFrom?.split('/')[1];
				const copy = copies.stored(handle, arrival.request.id);
				const lacksCopy = handle !== undefined && !copy;
				if (streamFault === 'dropped') {
					drop(
						copy ? arrival : {...arrival, continueFrom: undefined},
						response,
					);
				} else if (lacksCopy || simulation.waitingCount > maxQueued) {
					refuse(arrival, response);
				} else {
					copies.release(handle);
					start(arrival, response, copy);
				}
			},
			control(path, body, response) {
				if (path === targetPaths.report) {
					report(response);
				} else if (path === targetPaths.copyKvCache) {
					copies.handleOrder(body, response);
				} else {
					copies.release(path.split('/').at(-1));
					response.end('{}');
				}
			},
		},
		observer,
	);
	return {
		...server,
		storeKvCacheCopy(handle, copy) {
			return !hasCrashed && copies.store(handle, copy);
		},
		crash() {
			hasCrashed = true;
			clearTimeout(stepTimer);
			for (const run of runs.values()) {
				endRun(run, false);
			}

			server.resetConnections();
		},
		setCrashingPart(partId, onCrash, eventsBefore = 0) {
			crashingPart = partId;
			onCrashingPart = onCrash;
			eventsBeforeCrash = eventsBefore;
		},
		setStreamFault(fault) {
			streamFault = fault;
		},
		setLeaving() {
			isLeaving = true;
		},
		setRoomForCopies(hasRoom) {
			copies.setRoom(hasRoom);
		},
		pause(durationMs) {
			pausedUntilMs = performance.now() + durationMs;
		},
	};
}
