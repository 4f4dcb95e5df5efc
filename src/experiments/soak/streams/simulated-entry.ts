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

/** Time within which a disconnected caller can resume its stream. */
export const resumeWindowMs = 3000;

// Small enough that some answers exceed the buffers.
const maxStreamBufferBytes = 4000;
const maxDaemonBufferBytes = 12_000;
const vmListLagMs = 3000;
const ejectionMs = 2000;

const noMetrics: RelayMetrics = {
	firstToken: () => undefined,
	interTokenTime: () => undefined,
	finished: () => undefined,
	reopened: () => undefined,
	restarted: () => undefined,
	failed: () => undefined,
};

export type SimulatedEntryOptions = {
	readonly name: string;
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	readonly engines: readonly FakeStreamEngine[];
};

/** A simulated entry VM that runs the relay. */
export type SimulatedEntry = {
	readonly acceptsConnections: boolean;
	/**
	 * Starts a relay session for a request.
	 * @param resumption - generation and next position if the caller resumes a stream
	 */
	open(
		request: GenerationRequest,
		connection: CallerConnection,
		resumption?: {
			readonly placement: GenerationPlacement;
			readonly position: number;
		},
	): void;
	/** Closes all connections and streams at once. */
	crash(): void;
	/** Starts a graceful stop: accepts no new connections and exits when the open ones are finished. */
	stop(): void;
};

export function createSimulatedEntry(
	options: SimulatedEntryOptions,
): SimulatedEntry {
	const {name, time, random, invariants} = options;
	const process = new FakeProcess(time);
	const isAlive = () => process.state === 'running';
	const engineClients = new Map(
		options.engines.map((engine) => [
			engine.description.id,
			new EntryEngineClient(engine, isAlive),
		]),
	);
	const sessions = new Map<CallerConnection, RelaySession>();
	const targetIds = new Map<string, string>();
	let generationCount = 0;
	const leavingTargetIds = new Set<string>();
	const ejectedUntilMs = new Map<string, number>();
	let hasExited = false;

	// Picks any usable engine at random. The routing scenario tests the real placement.
	const pickEngine = (): string | undefined => {
		const usableEngines = options.engines.filter(
			({description}) =>
				!leavingTargetIds.has(description.id) &&
				(ejectedUntilMs.get(description.id) ?? 0) <= time.nowMs(),
		);
		return usableEngines.length === 0
			? undefined
			: usableEngines[random.nextInt(usableEngines.length)].description.id;
	};

	const placer: GenerationPlacer = {
		place(_request, callbacks) {
			// The VM list shows with a lag that a target is leaving.
			for (const {leavingSinceMs, description} of options.engines) {
				const {id} = description;
				if (leavingSinceMs === undefined) {
					leavingTargetIds.delete(id);
				} else if (time.nowMs() - leavingSinceMs >= vmListLagMs) {
					leavingTargetIds.add(id);
				}
			}

			const targetId = pickEngine();
			if (targetId === undefined) {
				callbacks.onRefused(
					new ProblemError('not-run', 'no engine accepts work', {
						retryAfterMs: ejectionMs,
					}),
				);
			} else {
				const generationId = `${name}-${generationCount++}`;
				targetIds.set(generationId, targetId);
				callbacks.onPlaced({
					engine: engineClients.get(targetId)!,
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
		adopt: (_request, placement) => engineClients.get(placement.targetId),
	};
	const cancellations = createPendingCancellations(process);
	const relayContext: RelayContext = {
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
			leavingTargetIds.add(targetId);
			leavingTargetIds.add(targetId);
		},
	};

	const exit = () => {
		hasExited = true;
		process.crash();
		for (const client of engineClients.values()) {
			client.closeStreams();
		}

		for (const connection of sessions.keys()) {
			connection.abort();
		}

		sessions.clear();
	};

	const gracefulStop = createGracefulStop({
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
			return !hasExited && !gracefulStop.isStopping;
		},
		open(request, connection, resumption) {
			const session = createRelaySession({
				...relayContext,
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
			if (resumption) {
				session.resume(resumption.placement, resumption.position);
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
			gracefulStop.begin();
		},
	};
}
