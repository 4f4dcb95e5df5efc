import {type Clock, VmList, type VmListSnapshot} from '../../common/index.js';

/** VM list cache, so that the components of a daemon that read the list don't each send a request to the platform. */
export class CachedVmList extends VmList {
	private latestRead: Promise<VmListSnapshot> | undefined;
	private readAtMs = 0;

	/**
	 * @param inner - client of the platform's VM list
	 * @param maxAgeMs - age from which a cached snapshot is no longer returned, in milliseconds
	 */
	constructor(
		private readonly inner: VmList,
		private readonly clock: Clock,
		private readonly maxAgeMs: number,
	) {
		super();
	}

	override async read(): Promise<VmListSnapshot> {
		const nowMs = this.clock.nowMs();
		if (!this.latestRead || nowMs - this.readAtMs >= this.maxAgeMs) {
			const pendingRead = this.inner.read();
			this.latestRead = pendingRead;
			this.readAtMs = nowMs;
			// A failure is not cached.
			pendingRead.catch(() => {
				if (this.latestRead === pendingRead) {
					this.latestRead = undefined;
				}
			});
		}

		return this.latestRead;
	}
}
