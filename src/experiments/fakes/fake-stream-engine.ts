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

/** Options of a fake engine. */
export type FakeStreamEngineOptions = {
	readonly id: string;
	readonly time: VirtualTime;
	readonly random: RandomSource;
	/** Time between two tokens, in milliseconds. */
	readonly tokenMs: number;
	/** Time that a chunk or a call takes one way, in milliseconds. */
	readonly latencyMs: number;
	/** How long an ended generation can still be read, in milliseconds. */
	readonly retainMs: number;
	/** Called when a request for a generation arrives, also if it is refused. */
	readonly onRequested: () => void;
	/** Called when a generation starts. */
	readonly onStart: (generationId: string) => void;
	/** Called when a generation is cancelled. */
	readonly onCancelled: (generationId: string, openLinks: number) => void;
};

const maxChunkTokens = 3;

/** Engine that streams at a steady pace over links that can fail in every way that the platform allows. */
export class FakeStreamEngine extends Engine {
	override readonly description: TargetDescription;
	isDown = false;
	/** Time since which the engine takes no new work. */
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

	/** Plans a fault of the next chunk. */
	planChunkFault(fault: ChunkFault): void {
		this.chunkFaults.push(fault);
	}

	/** Makes all open links silent without closing them. */
	stallConnections(): void {
		for (const {connections} of this.generations.values()) {
			for (const link of connections) {
				link.isSilent = true;
			}
		}
	}

	/** Loses all generations; the engine is back, empty, after a time. */
	kill(downMs: number): void {
		const lost = this.generations;
		this.generations = new Map();
		this.isDown = true;
		for (const {connections} of lost.values()) {
			for (const link of connections) {
				this.later(() => {
					link.listener.onFailure(this.unavailable());
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
		const link = createFakeEngineConnection(listener, 0);
		this.later(() => {
			this.options.onRequested();
			if (this.isDown || this.leavingSinceMs !== undefined) {
				const leaving = !this.isDown;
				this.later(() => {
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
			this.attach(generation, link);
			this.produce(generation);
		});
		return this.streamOf(generationId, link);
	}

	override reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream {
		const link = createFakeEngineConnection(listener, fromPosition);
		this.later(() => {
			const generation = this.generations.get(generationId);
			if (generation) {
				this.attach(generation, link);
				this.send(generation, link);
				return;
			}

			const problem = this.isDown
				? this.unavailable()
				: new ProblemError('stream-unknown', 'no such generation');
			this.later(() => {
				listener.onFailure(problem);
			});
		});
		return this.streamOf(generationId, link);
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
		for (const link of generation.connections) {
			this.later(() => {
				link.listener.onFailure(this.unavailable());
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

	private streamOf(
		generationId: string,
		link: FakeEngineConnection,
	): EngineStream {
		return {
			get connectionCount() {
				return link.linkCount;
			},
			pause() {
				link.isPaused = true;
			},
			resume: () => {
				link.isPaused = false;
				const generation = this.generations.get(generationId);
				if (generation?.connections.has(link)) {
					this.send(generation, link);
				}
			},
			close: () => {
				link.isSilent = true;
				this.generations.get(generationId)?.connections.delete(link);
			},
		};
	}

	private attach(generation: FakeGeneration, link: FakeEngineConnection): void {
		if (link.isSilent) {
			generation.linkCount++;
			return;
		}

		const count = ++generation.linkCount;
		generation.connections.add(link);
		this.later(() => {
			link.linkCount = count;
		});
	}

	private produce(generation: FakeGeneration): void {
		const {time, random, tokenMs, retainMs} = this.options;
		const chunk = 1 + random.nextInt(maxChunkTokens);
		time.after(tokenMs * chunk, () => {
			if (this.generations.get(generation.id) !== generation) {
				return;
			}

			generation.producedTokens = Math.min(
				generation.outputTokens,
				generation.producedTokens + chunk,
			);
			for (const link of generation.connections) {
				this.send(generation, link);
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

	private send(generation: FakeGeneration, link: FakeEngineConnection): void {
		if (link.isPaused || link.isSilent) {
			return;
		}

		const positions: number[] = [];
		while (link.nextPosition < generation.producedTokens) {
			positions.push(link.nextPosition++);
		}

		const fault = positions.length > 0 ? this.chunkFaults.shift() : undefined;
		const sent = applyChunkFault(positions, fault);
		const isEnd = link.nextPosition >= generation.outputTokens;
		// A chunk on its way arrives even if the link is closed meanwhile.
		this.later(() => {
			for (const position of sent) {
				link.listener.onToken(position, tokenText(generation.id, position));
			}

			if (isEnd) {
				link.listener.onFinish(
					generation.outputTokens === generation.maxTokens ? 'length' : 'stop',
					generation.outputTokens,
				);
			}
		});
	}

	private later(run: () => void): void {
		this.options.time.after(this.options.latencyMs, run);
	}

	private unavailable(details?: Record<string, unknown>): ProblemError {
		return new ProblemError('target-unavailable', 'engine is down', {details});
	}
}
