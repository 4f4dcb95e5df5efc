import {ObjectStore, ProblemError} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** In-memory object store over virtual time. */
export class FakeObjectStore extends ObjectStore {
	/** While true, every call fails after the latency. */
	down = false;
	readonly counts = {gets: 0, puts: 0};
	private readonly objects = new Map<string, string>();

	constructor(
		private readonly time: VirtualTime,
		private readonly latencyMs: number,
	) {
		super();
	}

	override async get(name: string): Promise<string | undefined> {
		this.counts.gets++;
		await this.simulateCall();
		return this.objects.get(name);
	}

	override async put(name: string, body: string): Promise<void> {
		this.counts.puts++;
		await this.simulateCall();
		this.objects.set(name, body);
	}

	private async simulateCall(): Promise<void> {
		await this.time.sleep(this.latencyMs);
		if (this.down) {
			throw new ProblemError(
				'object-store-unavailable',
				'the object store is down',
			);
		}
	}
}
