import {
	type InvariantMonitor,
	type RandomSource,
	ProblemError,
} from '../../../common/index.js';
import {createRetryBudget} from '../../../decisions/retries/index.js';
import {
	createByteBudget,
	createPendingCancellations,
	createGracefulStop,
	createRelaySession,
	defaultRelayLimits,
	type GenerationPlacement,
	type GenerationPlacer,
	type GenerationRequest,
	type RelayMetrics,
	type RelaySession,
	type RelayContext,
} from '../../../decisions/streams/index.js';
import {
	FakeProcess,
	type FakeStreamEngine,
	type VirtualTime,
} from '../../fakes/index.js';
import type {CallerConnection} from './caller-connection.js';
import {EntryEngineClient} from './entry-engine-client.js';

/** Time in which a caller that left may come back, in milliseconds. */
export const resumeWindowMs = 3000;

// Small enough that some answers do not fit.
const maxStreamBufferBytes = 4000;
const maxDaemonBufferBytes = 12_000;
const listLagMs = 3000;
const ejectionMs = 2000;

const noMetrics: RelayMetrics = {
	firstToken: () => undefined,
	interTokenTime: () => undefined,
	finished: () => undefined,
	reopened: () => undefined,
	restarted: () => undefined,
	failed: () => undefined,
};

/** What a simulated entry VM works with. */
export type SimulatedEntryOptions = {
	readonly name: string;
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	readonly engines: readonly FakeStreamEngine[];
};

/** An entry VM that runs the relay's code. */
export type SimulatedEntry = {
	readonly acceptsConnections: boolean;
	open(
		request: GenerationRequest,
		connection: CallerConnection,
		from?: {readonly place: GenerationPlacement; readonly position: number},
	): void;
	crash(): void;
	stop(): void;
};

/** Creates a running entry VM. */
export function createSimulatedEntry(
	options: SimulatedEntryOptions,
): SimulatedEntry {
	const {name, time, random, invariants} = options;
	const process = new FakeProcess(time);
	const isAlive = () => process.state === 'running';
	const links = new Map(
		options.engines.map((engine) => [
			engine.description.id,
			new EntryEngineClient(engine, isAlive),
		]),
	);
	const sessions = new Map<CallerConnection, RelaySession>();
	const targetIds = new Map<string, string>();
	let generationCount = 0;
	const left = new Set<string>();
	const ejectedUntilMs = new Map<string, number>();
	let hasExited = false;

	// The routing scenario drives the real placement; here any engine that takes work serves.
	const pickEngine = (): string | undefined => {
		const usable = options.engines.filter(
			({description}) =>
				!left.has(description.id) &&
				(ejectedUntilMs.get(description.id) ?? 0) <= time.nowMs(),
		);
		return usable.length === 0
			? undefined
			: usable[random.nextInt(usable.length)].description.id;
	};

	const placer: GenerationPlacer = {
		place(_request, callbacks) {
			// Entry VMs learn from the VM list that a target is leaving, with a lag.
			for (const {leavingSinceMs, description} of options.engines) {
				const {id} = description;
				if (leavingSinceMs === undefined) {
					left.delete(id);
				} else if (time.nowMs() - leavingSinceMs >= listLagMs) {
					left.add(id);
				}
			}

			const targetId = pickEngine();
			if (targetId === undefined) {
				callbacks.onRefused(
					new ProblemError('not-run', 'no engine takes work', {
						retryAfterMs: ejectionMs,
					}),
				);
			} else {
				const generationId = `${name}-${generationCount++}`;
				targetIds.set(generationId, targetId);
				callbacks.onPlaced({
					engine: links.get(targetId)!,
					generationId,
					priority: 0,
				});
			}

			return {dispose: () => undefined};
		},
		progressed: () => undefined,
		ended(generationId, outcome) {
			const targetId = targetIds.get(generationId);
			if (
				targetId !== undefined &&
				targetIds.delete(generationId) &&
				outcome === 'lost'
			) {
				ejectedUntilMs.set(targetId, time.nowMs() + ejectionMs);
			}
		},
		adopt: (_request, place) => links.get(place.targetId),
	};
	const cancellations = createPendingCancellations(process);
	const surroundings: RelayContext = {
		placer,
		clock: time,
		timers: process,
		random,
		invariants,
		limits: {...defaultRelayLimits, maxStreamBufferBytes},
		bufferBudget: createByteBudget(maxDaemonBufferBytes),
		restartBudget: createRetryBudget({
			clock: time,
			retriesPerRequest: 0.1,
			retriesPerSecond: 1,
			bucketCapacity: 5,
		}),
		cancellations,
		onUnexpected(error) {
			throw error;
		},
		onTargetLeaving(targetId) {
			left.add(targetId);
			left.add(targetId);
		},
	};

	const exit = () => {
		hasExited = true;
		process.crash();
		for (const link of links.values()) {
			link.closeStreams();
		}

		for (const connection of sessions.keys()) {
			connection.abort();
		}

		sessions.clear();
	};

	const plannedStop = createGracefulStop({
		timers: process,
		invariants,
		cancellations,
		graceMs: 0,
		openExchanges: () => sessions.size,
		onDrained() {
			invariants.check(
				'graceful-stop',
				[...sessions.keys()].every((connection) => connection.isClosed),
				() => `${name} stopped with open connections`,
			);
			exit();
		},
	});

	return {
		get acceptsConnections() {
			return !hasExited && !plannedStop.isStopping;
		},
		open(request, connection, from) {
			const session = createRelaySession({
				...surroundings,
				request,
				resumeWindowMs,
				sink: connection.sink,
				metrics: noMetrics,
			});
			sessions.set(connection, session);
			connection.attach({
				onDrained() {
					session.drained();
				},
				onClosed() {
					sessions.delete(connection);
					session.callerDisconnected();
				},
			});
			if (from) {
				session.resume(from.place, from.position);
			} else {
				session.start();
			}
		},
		crash() {
			if (!hasExited) {
				exit();
			}
		},
		stop() {
			plannedStop.begin();
		},
	};
}
