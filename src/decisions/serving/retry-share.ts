import type {Clock, Disposable} from '../../common/index.js';

/** Options of a VM's share of the retry budget. */
export type RetryShareOptions = {
	readonly clock: Clock;
	/** Current limits; they may change with the settings. */
	readonly bounds: () => RetryBounds;
	/** Largest number of VMs that may be sending requests; undefined while it is unknown. */
	readonly vmCount: () => number | undefined;
	/** Requests a retry from the pool that the fleet shares; disposing the result cancels the request. */
	readonly askPool: (
		service: string,
		onDecision: (isGranted: boolean) => void,
	) => Disposable;
};

/** Limits on the retries of the whole fleet. */
export type RetryBounds = {
	/** Retries that each request to a service allows. */
	readonly ratio: number;
	/** Additional retries to a service in each window, for all VMs together. */
	readonly extra: number;
	/** Length of the sliding window in which requests and retries are counted, in milliseconds. */
	readonly windowMs: number;
};

/** This VM's share of the fleet's retry budget, counted for each service. */
export type RetryShare = {
	/** Records a request to a service, which allows more retries. */
	recordRequest(service: string): void;
	/** @returns false if this VM's share is used up; then nothing is taken */
	tryTake(service: string): boolean;
	/**
	 * Takes a retry from this VM's share or, if that is used up, from the fleet's pool.
	 * @param onDecision - called once unless disposed before; called before this returns if the share suffices
	 * @returns disposing it cancels the request to the pool; undefined if the share sufficed
	 */
	take(
		service: string,
		onDecision: (isGranted: boolean) => void,
	): Disposable | undefined;
};

/**
 * Fraction of the ratio that a VM uses. The rest is a margin, since windows slide and a restarted VM
 * has an empty history.
 */
const safetyFraction = 0.8;
/** Fraction of the extra retries for the VMs; the rest is for the coordinator's pool and a margin. */
const ownExtraFraction = 0.55;

/** Extra retries of one VM; none while the number of VMs that share them is unknown. */
const ownExtra = (extra: number, vmCount: number | undefined) =>
	vmCount === undefined ? 0 : (ownExtraFraction * extra) / Math.max(1, vmCount);

/** Monotonic times of the requests and retries to a service within the window, in milliseconds. */
type ServiceHistory = {requests: number[]; retries: number[]};

function dropBefore(times: number[], startMs: number) {
	let count = 0;
	while (count < times.length && times[count] < startMs) {
		count++;
	}

	times.splice(0, count);
}

/** Creates the share of a VM that has recorded no requests. */
export function createRetryShare(options: RetryShareOptions): RetryShare {
	const {clock, bounds, vmCount} = options;
	const histories = new Map<string, ServiceHistory>();

	const historyOf = (service: string) => {
		let history = histories.get(service);
		if (!history) {
			history = {requests: [], retries: []};
			histories.set(service, history);
		}

		const startMs = clock.nowMs() - bounds().windowMs;
		dropBefore(history.requests, startMs);
		dropBefore(history.retries, startMs);
		return history;
	};

	const share: RetryShare = {
		recordRequest(service) {
			historyOf(service).requests.push(clock.nowMs());
		},
		tryTake(service) {
			const {ratio, extra} = bounds();
			const {requests, retries} = historyOf(service);
			const allowed =
				safetyFraction * ratio * requests.length + ownExtra(extra, vmCount());
			if (retries.length + 1 > allowed) {
				return false;
			}

			retries.push(clock.nowMs());
			return true;
		},
		take(service, onDecision) {
			if (share.tryTake(service)) {
				onDecision(true);
				return undefined;
			}

			return options.askPool(service, onDecision);
		},
	};
	return share;
}
