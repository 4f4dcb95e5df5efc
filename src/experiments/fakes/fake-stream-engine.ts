import {
	type CacheEvent,
	Engine,
	type EngineRequest,
	type EngineStream,
	type EngineStreamListener,
	type LoadReport,
	ProblemError,
	type RandomSource,
	type TargetDescription,
} from '../../common/index.js';
import {outputTokensFor, tokenText} from '../../standins/engine/index.js';
import {type ChunkFault, applyChunkFault} from './chunk-faults.js';
import {
	createFakeEngineConnection,
	type FakeGeneration,
	type FakeEngineConnection,
} from './fake-generation.js';
import type {VirtualTime} from './virtual-time.js';

export type FakeStreamEngineOptions = {
	readonly id: string;
	readonly time: VirtualTime;
	readonly random: RandomSource;
	/** Time that a token takes to be produced, in milliseconds. */
	readonly tokenMs: number;
	/** One-way network latency of a chunk or a call, in milliseconds. */
	readonly latencyMs: number;
	/** Time for which a finished generation can still be reopened, in milliseconds. */
	readonly retainMs: number;
	/** Called when a request to start a generation arrives, also if it is refused. */
	readonly onRequested: () => void;
	/** Called when a generation starts. */
	readonly onStart: (generationId: string) => void;
	/** Called when a generation is cancelled, with the number of its open connections. */
	readonly onCancelled: (
		generationId: string,
		openConnectionCount: number,
	) => void;
};

const maxChunkTokens = 3;

/**
 * Engine that produces tokens at a steady rate in virtual time, with faults: crash, leaving, stalled
 * connections, and chunks that are lost, duplicated or reordered.
 */
export class FakeStreamEngine extends Engine {
	override readonly description: TargetDescription;
	/** True while the engine is crashed and refuses all requests. */
	isDown = false;
	/** Virtual time since which the engine starts no generations, as it is leaving. */
	leavingSinceMs: number | undefined;
	private generations = new Map<string, FakeGeneration>();
	private readonly chunkFaults: ChunkFault[] = [];

	constructor(private readonly options: FakeStreamEngineOptions) {
		super();
		this.description = {
			id: options.id,
			kind: 'engine',
			url: `http://${options.id}`,
			availabilityZone: 'zone-1',
			models: ['model'],
			service: '',
			fencing: 'ignores',
			answersOutcomes: false,
		};
	}

	/** Plans a fault; each chunk with tokens takes the oldest one that is left. */
	planChunkFault(fault: ChunkFault): void {
		this.chunkFaults.push(fault);
	}

	/** Stalls all open connections: they deliver nothing more and stay open. */
	stallConnections(): void {
		for (const {connections} of this.generations.values()) {
			for (const connection of connections) {
				connection.isSilent = true;
			}
		}
	}

	/**
	 * Crashes the engine, which loses all generations. It restarts without them and is no longer leaving.
	 * @param downMs - time until the restart, in milliseconds
	 */
	kill(downMs: number): void {
		const lostGenerations = this.generations;
		this.generations = new Map();
		this.isDown = true;
		for (const {connections} of lostGenerations.values()) {
			for (const connection of connections) {
				this.afterLatency(() => {
					connection.listener.onFailure(this.unavailable());
				});
			}
		}

		this.options.time.after(downMs, () => {
			this.isDown = false;
			this.leavingSinceMs = undefined;
		});
	}

	override start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream {
		const {generationId, prompt, maxTokens} = request;
		const connection = createFakeEngineConnection(listener, 0);
		this.afterLatency(() => {
			this.options.onRequested();
			if (this.isDown || this.leavingSinceMs !== undefined) {
				const leaving = !this.isDown;
				this.afterLatency(() => {
					listener.onFailure(this.unavailable({leaving}));
				});
				return;
			}

			this.options.onStart(generationId);
			const generation: FakeGeneration = {
				id: generationId,
				outputTokens: outputTokensFor(prompt, maxTokens),
				maxTokens,
				producedTokens: 0,
				linkCount: 0,
				connections: new Set(),
			};
			this.generations.set(generationId, generation);
			this.attach(generation, connection);
			this.produce(generation);
		});
		return this.createStream(generationId, connection);
	}

	override reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream {
		const connection = createFakeEngineConnection(listener, fromPosition);
		this.afterLatency(() => {
			const generation = this.generations.get(generationId);
			if (generation) {
				this.attach(generation, connection);
				this.send(generation, connection);
				return;
			}

			const problem = this.isDown
				? this.unavailable()
				: new ProblemError('stream-unknown', 'no such generation');
			this.afterLatency(() => {
				listener.onFailure(problem);
			});
		});
		return this.createStream(generationId, connection);
	}

	override async cancel(
		generationId: string,
		linkCount?: number,
	): Promise<void> {
		await this.options.time.sleep(this.options.latencyMs);
		const generation = this.generations.get(generationId);
		if (!generation) {
			return;
		}

		if ((linkCount ?? generation.linkCount) !== generation.linkCount) {
			return;
		}

		this.generations.delete(generationId);
		this.options.onCancelled(generationId, generation.connections.size);
		for (const connection of generation.connections) {
			this.afterLatency(() => {
				connection.listener.onFailure(this.unavailable());
			});
		}
	}

	override async loadReport(): Promise<LoadReport> {
		throw this.unavailable();
	}

	override async cacheEvents(): Promise<readonly CacheEvent[]> {
		return [];
	}

	override async order(): Promise<void> {
		throw this.unavailable();
	}

	private createStream(
		generationId: string,
		connection: FakeEngineConnection,
	): EngineStream {
		return {
			get connectionCount() {
				return connection.linkCount;
			},
			pause() {
				connection.isPaused = true;
			},
			resume: () => {
				connection.isPaused = false;
				const generation = this.generations.get(generationId);
				if (generation?.connections.has(connection)) {
					this.send(generation, connection);
				}
			},
			close: () => {
				connection.isSilent = true;
				this.generations.get(generationId)?.connections.delete(connection);
			},
		};
	}

	private attach(
		generation: FakeGeneration,
		connection: FakeEngineConnection,
	): void {
		if (connection.isSilent) {
			generation.linkCount++;
			return;
		}

		const count = ++generation.linkCount;
		generation.connections.add(connection);
		this.afterLatency(() => {
			connection.linkCount = count;
		});
	}

	private produce(generation: FakeGeneration): void {
		const {time, random, tokenMs, retainMs} = this.options;
		const tokenCount = 1 + random.nextInt(maxChunkTokens);
		time.after(tokenMs * tokenCount, () => {
			if (this.generations.get(generation.id) !== generation) {
				return;
			}

			generation.producedTokens = Math.min(
				generation.outputTokens,
				generation.producedTokens + tokenCount,
			);
			for (const connection of generation.connections) {
				this.send(generation, connection);
			}

			if (generation.producedTokens < generation.outputTokens) {
				this.produce(generation);
			} else {
				time.after(retainMs, () => {
					if (this.generations.get(generation.id) === generation) {
						this.generations.delete(generation.id);
					}
				});
			}
		});
	}

	private send(
		generation: FakeGeneration,
		connection: FakeEngineConnection,
	): void {
		if (connection.isPaused || connection.isSilent) {
			return;
		}

		const positions: number[] = [];
		while (connection.nextPosition < generation.producedTokens) {
			positions.push(connection.nextPosition++);
		}

		const fault = positions.length > 0 ? this.chunkFaults.shift() : undefined;
		const sentPositions = applyChunkFault(positions, fault);
		const isLastChunk = connection.nextPosition >= generation.outputTokens;
		// A chunk that was sent arrives even if the connection is closed meanwhile.
		this.afterLatency(() => {
			for (const position of sentPositions) {
				connection.listener.onToken(
					position,
					tokenText(generation.id, position),
				);
			}

			if (isLastChunk) {
				connection.listener.onFinish(
					generation.outputTokens === generation.maxTokens ? 'length' : 'stop',
					generation.outputTokens,
				);
			}
		});
	}

	private afterLatency(run: () => void): void {
		this.options.time.after(this.options.latencyMs, run);
	}

	private unavailable(details?: Record<string, unknown>): ProblemError {
		return new ProblemError('target-unavailable', 'the engine is unavailable', {
			details,
		});
	}
}
