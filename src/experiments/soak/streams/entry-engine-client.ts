import {
	type CacheEvent,
	Engine,
	type EngineRequest,
	type EngineStream,
	type EngineStreamListener,
	type LoadReport,
	type TargetDescription,
} from '../../../common/index.js';

/** Engine client of one simulated entry VM, which can close all its streams when the VM fails. */
export class EntryEngineClient extends Engine {
	private readonly openStreams = new Set<EngineStream>();

	constructor(
		private readonly engine: Engine,
		private readonly isAlive: () => boolean,
	) {
		super();
	}

	override get description(): TargetDescription {
		return this.engine.description;
	}

	/** Closes all open streams. */
	closeStreams(): void {
		for (const stream of this.openStreams) {
			stream.close();
		}

		this.openStreams.clear();
	}

	override start(
		request: EngineRequest,
		listener: EngineStreamListener,
	): EngineStream {
		return this.track(this.engine.start(request, this.whileAlive(listener)));
	}

	override reopen(
		generationId: string,
		fromPosition: number,
		listener: EngineStreamListener,
	): EngineStream {
		return this.track(
			this.engine.reopen(generationId, fromPosition, this.whileAlive(listener)),
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
		throw new Error('order() is not implemented: the relay sends no orders');
	}

	private track(stream: EngineStream): EngineStream {
		this.openStreams.add(stream);
		return stream;
	}

	/** Drops the events that arrive after the VM has failed. */
	private whileAlive(listener: EngineStreamListener): EngineStreamListener {
		const runIfAlive = (run: () => void) => {
			if (this.isAlive()) {
				run();
			}
		};

		return {
			onToken(position, text) {
				runIfAlive(() => {
					listener.onToken(position, text);
				});
			},
			onFinish(reason, tokenCount) {
				runIfAlive(() => {
					listener.onFinish(reason, tokenCount);
				});
			},
			onFailure(error) {
				runIfAlive(() => {
					listener.onFailure(error);
				});
			},
		};
	}
}
