import {
	type Clock,
	createEmitter,
	type Event,
	type StatedRateLimit,
} from '../../common/index.js';
import type {RateLimitChange, RateLimitReport} from './types.js';

/** Rate limits that targets name in their responses, as far as this VM knows them. */
export type RateLimitTable = {
	/** Fires when a target has set, changed or lifted its limit. */
	readonly onChanged: Event<RateLimitChange>;
	/** Returns the requests per second that a target accepts from all VMs; undefined without a limit. */
	limitOf(targetId: string): number | undefined;
	/**
	 * Records what a response to a request of this VM says.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 */
	recordResponse(
		targetId: string,
		stated: StatedRateLimit,
		sentMs: number,
	): void;
	/** Records what another VM knows. */
	recordReport(report: RateLimitReport): void;
	/** What this VM knows of limits in force and recently lifted, for other VMs. */
	reports(): readonly RateLimitReport[];
	/** Removes the limit of a target that has left or restarted. */
	forget(targetId: string): void;
};

/**
 * Time for which it is remembered that a limit was lifted, in milliseconds, so that older reports of other
 * VMs do not restore it.
 */
const liftedRetentionMs = 10_000;

type Observation = {
	readonly requestsPerSecond: number | undefined;
	/** Monotonic time, in milliseconds; of two observations the later one holds. */
	readonly observedMs: number;
};

/** Creates a table without limits. */
export function createRateLimitTable(clock: Clock): RateLimitTable {
	const changed = createEmitter<RateLimitChange>();
	const observations = new Map<string, Observation>();

	const record = (
		targetId: string,
		observation: Observation,
		source: RateLimitChange['source'],
	) => {
		const previous = observations.get(targetId);
		const {requestsPerSecond, observedMs} = observation;
		const isNews = previous
			? observedMs > previous.observedMs
			: requestsPerSecond !== undefined;
		if (!isNews) {
			return;
		}

		observations.set(targetId, observation);
		const previousPerSecond = previous?.requestsPerSecond;
		if (requestsPerSecond !== previousPerSecond) {
			const ageMs = clock.nowMs() - observedMs;
			changed.fire({
				targetId,
				requestsPerSecond,
				previousPerSecond,
				source,
				ageMs,
			});
		}
	};

	const removeOldLifted = () => {
		const nowMs = clock.nowMs();
		for (const [targetId, observation] of observations) {
			const {requestsPerSecond, observedMs} = observation;
			const isOld = nowMs - observedMs > liftedRetentionMs;
			if (requestsPerSecond === undefined && isOld) {
				observations.delete(targetId);
			}
		}
	};

	return {
		onChanged: changed.event,
		limitOf: (targetId) => observations.get(targetId)?.requestsPerSecond,
		recordResponse(targetId, stated, sentMs) {
			if (stated.state === 'limited') {
				const {requestsPerSecond} = stated;
				record(
					targetId,
					{requestsPerSecond, observedMs: clock.nowMs()},
					'response',
				);
			} else if (stated.state === 'unlimited') {
				// Responses may overtake each other. Only one to a request that was sent after the target had
				// named the limit shows that the limit is lifted.
				record(
					targetId,
					{requestsPerSecond: undefined, observedMs: sentMs},
					'response',
				);
			}
		},
		recordReport({targetId, requestsPerSecond, ageMs}) {
			record(
				targetId,
				{requestsPerSecond, observedMs: clock.nowMs() - ageMs},
				'peer',
			);
		},
		reports() {
			removeOldLifted();
			const nowMs = clock.nowMs();
			return [...observations].map(
				([targetId, {requestsPerSecond, observedMs}]) => ({
					targetId,
					requestsPerSecond,
					ageMs: nowMs - observedMs,
				}),
			);
		},
		forget(targetId) {
			if (observations.has(targetId)) {
				observations.set(targetId, {
					requestsPerSecond: undefined,
					observedMs: clock.nowMs(),
				});
			}
		},
	};
}
