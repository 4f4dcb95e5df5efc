import type {Clock} from '../../common/index.js';

/** Bound on repeated sends, shared by the whole fleet. */
export type RetryShareOptions = {
	readonly clock: Clock;
	/** Bounds in force; they may change. */
	readonly bounds: () => RetryBounds;
	/** Largest number of VMs that may be sending. */
	readonly vmCount: () => number;
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
	noteRequest(service: string): void;
	/** @returns false if no repeated send is left; then nothing is taken */
	tryTake(service: string): boolean;
};

// Windows slide and VMs restart with an empty record, so that the whole share is never used up.
const safetyPart = 0.8;

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

	return {
		noteRequest(service) {
			recordOf(service).requests.push(clock.nowMs());
		},
		tryTake(service) {
			const {ratio, extra} = bounds();
			const {requests, repeats} = recordOf(service);
			const allowed =
				safetyPart * (ratio * requests.length + extra / Math.max(1, vmCount()));
			if (repeats.length + 1 > allowed) {
				return false;
			}

			repeats.push(clock.nowMs());
			return true;
		},
	};
}
