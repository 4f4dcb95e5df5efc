import type {Clock} from '../../common/index.js';

export type RetryPoolOptions = {
	readonly clock: Clock;
	/**
	 * Bounds in force, read at each use since they may change: `extra` is the number of retries for each
	 * service that all VMs together may send in a sliding window, beside those earned by requests.
	 */
	readonly bounds: () => {readonly extra: number; readonly windowMs: number};
	/** Monotonic time at which this VM became coordinator, in milliseconds; Infinity if it is not. */
	readonly coordinatorSinceMs: () => number;
};

/** Retries to a service that a VM cedes to the pool. */
export type RetryCredit = {
	readonly service: string;
	/** Number of retries; usually not a whole one. */
	readonly retries: number;
};

/** Retries that the coordinator grants to VMs whose own share is used up. */
export type RetryPool = {
	/**
	 * Takes one retry for a service.
	 * @returns false if none is left; this VM uses the pool's own part of the extra retries only after it has
	 *   been coordinator for a whole window
	 */
	tryTake(service: string): boolean;
	/** Adds what a VM has ceded from its own share. It lapses after a fraction of the window. */
	addCredits(credits: readonly RetryCredit[]): void;
};

/** Time within which the pool uses what a VM has ceded, as a fraction of the window. */
export const creditLifetimeFraction = 0.5;

/**
 * Fraction of the fleet's extra retries that one pool grants. In a network partition there are two
 * coordinators; their pools and the VMs' own shares together have to stay below the fleet's limit.
 */
const poolFraction = 0.2;

/** Largest credit accepted from one VM for a service at once, in retries. */
const maxCredit = 1000;

type OpenCredit = {
	/** Monotonic time at which it was received, in milliseconds. */
	readonly receivedMs: number;
	retries: number;
};

export function createRetryPool(options: RetryPoolOptions): RetryPool {
	const {clock, bounds} = options;
	const grantTimes = new Map<string, number[]>();
	const openCredits = new Map<string, OpenCredit[]>();

	const creditsOf = (service: string) => {
		const startMs = clock.nowMs() - bounds().windowMs * creditLifetimeFraction;
		const credits = (openCredits.get(service) ?? []).filter(
			({receivedMs}) => receivedMs >= startMs,
		);
		openCredits.set(service, credits);
		return credits;
	};

	/** Takes one retry from what the VMs have ceded, the oldest first. */
	const tryTakeCredit = (service: string) => {
		const credits = creditsOf(service);
		let available = 0;
		for (const {retries} of credits) {
			available += retries;
		}

		if (available < 1) {
			return false;
		}

		let missing = 1;
		for (const credit of credits) {
			const taken = Math.min(credit.retries, missing);
			credit.retries -= taken;
			missing -= taken;
		}

		openCredits.set(
			service,
			credits.filter(({retries}) => retries > 0),
		);
		return true;
	};

	const tryTakeExtra = (service: string) => {
		const {extra, windowMs} = bounds();
		const nowMs = clock.nowMs();
		// What the previous coordinator granted is unknown here; after a whole window it no longer counts.
		if (nowMs - options.coordinatorSinceMs() < windowMs) {
			return false;
		}

		const times = (grantTimes.get(service) ?? []).filter(
			(time) => time > nowMs - windowMs,
		);
		const isGranted = times.length + 1 <= poolFraction * extra;
		grantTimes.set(service, isGranted ? [...times, nowMs] : times);
		return isGranted;
	};

	return {
		// A credit is used only here, whichever VM coordinates, so that it needs no time to settle.
		tryTake: (service) => tryTakeCredit(service) || tryTakeExtra(service),
		addCredits(credits) {
			for (const {service, retries} of credits) {
				if (retries > 0 && retries <= maxCredit) {
					creditsOf(service).push({receivedMs: clock.nowMs(), retries});
				}
			}
		},
	};
}
