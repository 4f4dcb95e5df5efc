import type {Clock, Disposable} from '../../common/index.js';

/** Bound on repeated sends, shared by the whole fleet. */
export type RetryShareOptions = {
	readonly clock: Clock;
	/** Bounds in force; they may change. */
	readonly bounds: () => RetryBounds;
	/** Largest number of VMs that may be sending; undefined while that is not known. */
	readonly vmCount: () => number | undefined;
	/** Asks for a send from what the fleet has in common. */
	readonly askPool: (
		service: string,
		onAnswer: (isGranted: boolean) => void,
	) => Disposable;
};

/** Bounds on the repeated sends of the whole fleet. */
export type RetryBounds = {
	/** Repeated sends that each request to a service allows. */
	readonly ratio: number;
	/** Repeated sends that a service bears in each window besides, from all VMs together. */
	readonly extra: number;
	readonly windowMs: number;
};

/** This VM's part of the fleet's budget of repeated sends. */
export type RetryShare = {
	/** A request for a service arrived. */
	recordRequest(service: string): void;
	/** @returns false if no repeated send is left; then nothing is taken */
	tryTake(service: string): boolean;
	/**
	 * Takes a repeated send from this VM's part or, if that is used up, from what the fleet has in common.
	 * @param onAnswer - called once, at once if this VM's part suffices, unless disposed before
	 */
	take(
		service: string,
		onAnswer: (isGranted: boolean) => void,
	): Disposable | undefined;
};

// Windows slide and VMs restart with an empty record, so that the whole share is never used up.
const safetyPart = 0.8;
/** The same for the extra sends, which the coordinator's pool shares. */
const ownExtraPart = 0.55;

/** Extra sends of one VM; none while it does not know with how many others it shares them. */
const ownExtra = (extra: number, vmCount: number | undefined) =>
	vmCount === undefined ? 0 : (ownExtraPart * extra) / Math.max(1, vmCount);

type Record = {requests: number[]; repeats: number[]};

function dropBefore(times: number[], startMs: number) {
	let count = 0;
	while (count < times.length && times[count] < startMs) {
		count++;
	}

	times.splice(0, count);
}

/** Creates a budget without any sends. */
export function createRetryShare(options: RetryShareOptions): RetryShare {
	const {clock, bounds, vmCount} = options;
	const records = new Map<string, Record>();

	const recordOf = (service: string) => {
		let record = records.get(service);
		if (!record) {
			record = {requests: [], repeats: []};
			records.set(service, record);
		}

		const startMs = clock.nowMs() - bounds().windowMs;
		dropBefore(record.requests, startMs);
		dropBefore(record.repeats, startMs);
		return record;
	};

	const share: RetryShare = {
		recordRequest(service) {
			recordOf(service).requests.push(clock.nowMs());
		},
		tryTake(service) {
			const {ratio, extra} = bounds();
			const {requests, repeats} = recordOf(service);
			const allowed =
				safetyPart * ratio * requests.length + ownExtra(extra, vmCount());
			if (repeats.length + 1 > allowed) {
				return false;
			}

			repeats.push(clock.nowMs());
			return true;
		},
		take(service, onAnswer) {
			if (share.tryTake(service)) {
				onAnswer(true);
				return undefined;
			}

			return options.askPool(service, onAnswer);
		},
	};
	return share;
}
