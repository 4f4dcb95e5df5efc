import {type Clock, VmList, type VmListSnapshot} from '../../common/index.js';

/** VM list that several parts of a daemon read without each calling the platform. */
export class CachedVmList extends VmList {
	private latest: Promise<VmListSnapshot> | undefined;
	private readAtMs = 0;

	/**
	 * @param inner - list that is read
	 * @param maxAgeMs - age up to which a reading is given out again, in milliseconds
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
		if (!this.latest || nowMs - this.readAtMs >= this.maxAgeMs) {
			const reading = this.inner.read();
			this.latest = reading;
			this.readAtMs = nowMs;
			// A failed reading is not given out again.
			reading.catch(() => {
				if (this.latest === reading) {
					this.latest = undefined;
				}
			});
		}

		return this.latest;
	}
}
