import type {Clock, Disposable} from '../../common/index.js';
import {creditLifetimeFraction, type RetryCredit} from '../fleet/index.js';

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
	/**
	 * Takes what this VM can cede to the fleet's pool out of its share: at most half of what its requests
	 * have earned, and nothing that it has used itself. It counts as used by this VM for as long as a retry
	 * from it may lie in a window.
	 */
	takeUnused(): readonly RetryCredit[];
};

/**
 * Fraction of the ratio that a VM uses. The rest is a margin, since windows slide and a restarted VM
 * has an empty history.
 */
const safetyFraction = 0.8;
/** Fraction of the extra retries for the VMs; the rest is for the coordinator's pool and a margin. */
const ownExtraFraction = 0.55;

/** Largest fraction of what its requests have earned that a VM cedes. */
const cededFraction = 0.5;
/** Amount below which nothing is ceded, to save messages; in retries. */
const minCededRetries = 0.1;

/** Extra retries of one VM; none while the number of VMs that share them is unknown. */
const ownExtra = (extra: number, vmCount: number | undefined) =>
	vmCount === undefined ? 0 : (ownExtraFraction * extra) / Math.max(1, vmCount);

/** What a VM has ceded at a monotonic time, in milliseconds. */
type CededRetries = {readonly atMs: number; readonly retries: number};

/** Monotonic times of the requests and retries to a service within the window, in milliseconds. */
type ServiceHistory = {
	requests: number[];
	retries: number[];
	ceded: CededRetries[];
};

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
			history = {requests: [], retries: [], ceded: []};
			histories.set(service, history);
		}

		const {windowMs} = bounds();
		const startMs = clock.nowMs() - windowMs;
		const cededStartMs = startMs - windowMs * creditLifetimeFraction;
		dropBefore(history.requests, startMs);
		dropBefore(history.retries, startMs);
		history.ceded = history.ceded.filter(({atMs}) => atMs >= cededStartMs);
		return history;
	};

	const cededOf = ({ceded}: ServiceHistory) => {
		let sum = 0;
		for (const {retries} of ceded) {
			sum += retries;
		}

		return sum;
	};

	const earnedOf = ({requests}: ServiceHistory) =>
		safetyFraction * bounds().ratio * requests.length;

	/** Retries that this VM may still make. */
	const leftOf = (history: ServiceHistory) =>
		earnedOf(history) +
		ownExtra(bounds().extra, vmCount()) -
		history.retries.length -
		cededOf(history);

	const cedableOf = (history: ServiceHistory) =>
		Math.min(
			leftOf(history),
			earnedOf(history) * cededFraction - cededOf(history),
		);

	const share: RetryShare = {
		recordRequest(service) {
			historyOf(service).requests.push(clock.nowMs());
		},
		tryTake(service) {
			const history = historyOf(service);
			if (leftOf(history) < 1) {
				return false;
			}

			history.retries.push(clock.nowMs());
			return true;
		},
		take(service, onDecision) {
			if (share.tryTake(service)) {
				onDecision(true);
				return undefined;
			}

			return options.askPool(service, onDecision);
		},
		takeUnused() {
			const credits: RetryCredit[] = [];
			for (const service of histories.keys()) {
				const history = historyOf(service);
				const retries = cedableOf(history);
				if (retries >= minCededRetries) {
					history.ceded.push({atMs: clock.nowMs(), retries});
					credits.push({service, retries});
				}
			}

			return credits;
		},
	};
	return share;
}
