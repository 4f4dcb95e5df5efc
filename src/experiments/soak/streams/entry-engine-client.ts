import {
	type CacheEvent,
	Engine,
	type EngineRequest,
	type EngineStream,
	type EngineStreamListener,
	type LoadReport,
	type TargetDescription,
} from '../../../common/index.js';

/** An engine as one simulated entry VM reaches it: its links break when the VM fails. */
export class EntryEngineClient extends Engine {
	private readonly open = new Set<EngineStream>();

	constructor(
		private readonly engine: Engine,
		private readonly isAlive: () => boolean,
	) {
		super();
	}

	override get description(): TargetDescription {
		return this.engine.description;
	}

	/** Breaks all links. */
	closeStreams(): void {
		for (const stream of this.open) {
			stream.close();
		}

		this.open.clear();
	}

	override start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream {
		return this.keep(this.engine.start(request, this.guard(listener)));
	}

	override reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream {
		return this.keep(
			this.engine.reopen(generationId, fromPosition, this.guard(listener)),
		);
	}

	override async cancel(
		generationId: string,
		linkCount?: number,
	): Promise<void> {
		await this.engine.cancel(generationId, linkCount);
	}

	override async loadReport(): Promise<LoadReport> {
		return this.engine.loadReport();
	}

	override async cacheEvents(
		afterSequence: number,
	): Promise<readonly CacheEvent[]> {
		return this.engine.cacheEvents(afterSequence);
	}

	override async order(): Promise<void> {
		throw new Error('the relay gives no orders');
	}

	private keep(stream: EngineStream): EngineStream {
		this.open.add(stream);
		return stream;
	}

	private guard(listener: EngineStreamListener): EngineStreamListener {
		const whenAlive = (run: () => void) => {
			if (this.isAlive()) {
				run();
			}
		};

		return {
			onToken(position, text) {
				whenAlive(() => {
					listener.onToken(position, text);
				});
			},
			onFinish(reason, tokenCount) {
				whenAlive(() => {
					listener.onFinish(reason, tokenCount);
				});
			},
			onFailure(error) {
				whenAlive(() => {
					listener.onFailure(error);
				});
			},
		};
	}
}
