import type {ServerResponse} from 'node:http';
import {
	createEngineSimulation,
	type SimulatedGeneration,
} from '../../standins/engine/engine-simulation.js';
import {targetPaths} from '../wire-names.js';
import {
	beginResponse,
	createTargetServer,
	refuse,
	type TargetArrival,
	type TargetObserver,
	type TargetServer,
} from './target-server.js';

/** Memory of a run that another engine copied here. */
type KeptCopy = {readonly requestId: string; readonly eventCount: number};

/** Where engines reach each other's memory. */
export type EnginesByAddress = Map<string, EngineStandin>;

/** What a modelled engine is made from. */
export type EngineStandinOptions = {
	readonly targetId: string;
	readonly service: string;
	/** Engines by the addresses at which others reach them. */
	readonly enginesByAddress: EnginesByAddress;
	readonly slotCount: number;
	readonly capacityTokens: number;
	readonly stepMs: number;
	readonly prefillPerTokenMs: number;
	readonly observer: TargetObserver;
};

/** An engine that streams events, copies the memory of runs and continues from copies. */
export type EngineStandin = TargetServer & {
	/** Keeps the memory of a run; false if it cannot. */
	storeKvCacheCopy(handle: string, copy: KeptCopy): boolean;
	/** Ends all runs without an answer and accepts no memory, as a crash does. */
	crash(): void;
	/** Says in its reports that it leaves. */
	setLeaving(): void;
};

type Run = SimulatedGeneration & {
	readonly arrival: TargetArrival;
	readonly response: ServerResponse;
	readonly firstEvent: number;
};

const tokensPerEvent = 4;
const backupIntervalMs = 100;
const copyMs = 40;
const maxQueued = 8;

/** Number of events of the answer to a request. */
export function eventCountOf(maxOutputTokens: number): number {
	return Math.max(1, Math.ceil(maxOutputTokens / tokensPerEvent));
}

/** Text of an event of a stream. */
export function eventText(requestId: string, id: number): string {
	return `id: ${id}\ndata: ${requestId} ${id}\n\n`;
}

/** Creates an idle engine; the owner makes it listen. */
export function createEngineStandin(
	options: EngineStandinOptions,
): EngineStandin {
	const {observer, enginesByAddress, capacityTokens} = options;
	const model = createEngineSimulation<Run>({
		capacityTokens,
		maxRunning: options.slotCount,
		stepBaseMs: options.stepMs,
		stepPerRunningMs: 0,
		prefillPerTokenMs: options.prefillPerTokenMs,
	});
	const runs = new Map<string, Run>();
	const copies = new Map<string, KeptCopy>();
	let stepping: NodeJS.Timeout | undefined;
	let nextHandle = 1;
	let isDead = false;
	let isLeaving = false;

	const sentEvents = (run: Run) => {
		const sequence = [...model.running, ...model.waiting].find(
			({generation}) => generation === run,
		);
		const made = Math.floor((sequence?.producedTokens ?? 0) / tokensPerEvent);
		return run.firstEvent - 1 + made;
	};

	const end = (run: Run, isFinished: boolean) => {
		if (runs.get(run.id) === run) {
			runs.delete(run.id);
			observer.stopped(run.arrival, isFinished);
		}
	};

	const step = () => {
		stepping = undefined;
		const {durationMs, produced, finished} = model.step();
		for (const {generation, producedTokens} of produced) {
			if (producedTokens % tokensPerEvent === 0) {
				const event =
					generation.firstEvent - 1 + producedTokens / tokensPerEvent;
				generation.response.write(eventText(generation.id, event));
			}
		}

		for (const {generation} of finished) {
			end(generation, true);
			generation.response.end();
		}

		schedule(durationMs);
	};

	const schedule = (delayMs: number) => {
		if (model.runningCount + model.waitingCount > 0 && !isDead) {
			stepping ??= setTimeout(step, delayMs);
		}
	};

	const backUp = (run: Run, address: string) => {
		const timer = setInterval(() => {
			if (runs.get(run.id) !== run) {
				clearInterval(timer);
				return;
			}

			enginesByAddress.get(address)?.storeKvCacheCopy(run.id, {
				requestId: run.id,
				eventCount: sentEvents(run),
			});
		}, backupIntervalMs);
	};

	const start = (
		arrival: TargetArrival,
		response: ServerResponse,
		copy: KeptCopy | undefined,
	) => {
		const {request, lastEventId = 0} = arrival;
		const demand = request.generation;
		const total = eventCountOf(demand?.maxOutputTokens ?? 0);
		const promptTokens = demand?.promptTokens ?? 0;
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
			model.cancel(run.id);
			end(run, false);
		});
		model.submit(run);
		schedule(0);
		if (arrival.backupAddress !== undefined) {
			backUp(run, arrival.backupAddress);
		}
	};

	const move = (body: string, response: ServerResponse) => {
		const {id, to} = JSON.parse(body) as {id: string; to: string};
		setTimeout(() => {
			const run = runs.get(id);
			const handle = `m${nextHandle++}`;
			const eventCount = run ? sentEvents(run) : 0;
			if (!run) {
				response.writeHead(404).end('{}');
			} else if (
				enginesByAddress
					.get(to)
					?.storeKvCacheCopy(handle, {requestId: id, eventCount})
			) {
				response.end(JSON.stringify({handle, created: eventCount}));
			} else {
				response.writeHead(503).end(JSON.stringify({handle}));
			}
		}, copyMs);
	};

	const report = (response: ServerResponse) => {
		response.end(
			JSON.stringify({
				queued: model.waitingCount,
				running: model.runningCount,
				kv_used: model.usedTokens,
				kv_total: capacityTokens,
				...(isLeaving ? {state: 'draining'} : {}),
			}),
		);
	};

	const server = createTargetServer(
		{
			...options,
			serve(arrival, response) {
				const handle = arrival.continueFrom?.split('/')[1];
				const copy = copies.get(handle ?? '');
				const isUnknown =
					handle !== undefined && copy?.requestId !== arrival.request.id;
				if (isUnknown || model.waitingCount > maxQueued) {
					refuse(arrival, response);
				} else {
					copies.delete(handle ?? '');
					start(arrival, response, copy);
				}
			},
			control(path, body, response) {
				if (path === targetPaths.report) {
					report(response);
				} else if (path === targetPaths.copyKvCache) {
					move(body, response);
				} else {
					copies.delete(path.split('/').at(-1) ?? '');
					response.end('{}');
				}
			},
		},
		observer,
	);
	return {
		...server,
		storeKvCacheCopy(handle, copy) {
			if (isDead) {
				return false;
			}

			copies.set(handle, copy);
			return true;
		},
		crash() {
			isDead = true;
			clearTimeout(stepping);
			for (const run of runs.values()) {
				end(run, false);
			}

			server.resetConnections();
		},
		setLeaving() {
			isLeaving = true;
		},
	};
}
