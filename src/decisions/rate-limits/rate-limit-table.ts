import {
	type Clock,
	createEmitter,
	type Event,
	misdirectedStatus,
	type ResponseHead,
} from '../../common/index.js';
import type {RateLimitChange, RateLimitReport} from './types.js';

/** Rate limits that targets name in their responses, as far as this VM knows them. */
export type RateLimitTable = {
	/** Fires when a target has set, changed or lifted its limit. */
	readonly onChanged: Event<RateLimitChange>;
	/** Returns the requests per second that a target accepts from all VMs; undefined without a limit. */
	limitOf(targetId: string): number | undefined;
	/**
	 * Records what a response to a request of this VM says. One that the target itself did not make says
	 * nothing about its limit.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 */
	recordResponse(targetId: string, head: ResponseHead, sentMs: number): void;
	/** Records what another VM knows. */
	recordReport(report: RateLimitReport): void;
	/** What this VM knows of limits in force and recently lifted, for other VMs. */
	reports(): readonly RateLimitReport[];
	/**
	 * The part of `reports` that responses to requests of this VM have shown or confirmed.
	 * @param sinceMs - monotonic time from which on, in milliseconds
	 */
	ownReports(sinceMs: number): readonly RateLimitReport[];
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
	/** Monotonic time at which this VM recorded it, in milliseconds. */
	readonly recordedMs: number;
	readonly source: RateLimitChange['source'];
};

/** True if the target to which the request was addressed has made the response. */
const isOfTarget = ({status, isFromTarget, notExecuted}: ResponseHead) =>
	status !== misdirectedStatus && (isFromTarget || notExecuted);

/** Creates a table without limits. */
export function createRateLimitTable(clock: Clock): RateLimitTable {
	const changed = createEmitter<RateLimitChange>();
	const observations = new Map<string, Observation>();

	const record = (
		targetId: string,
		requestsPerSecond: number | undefined,
		observedMs: number,
		source: RateLimitChange['source'],
	) => {
		const previous = observations.get(targetId);
		const isNews = previous
			? observedMs > previous.observedMs
			: requestsPerSecond !== undefined;
		if (!isNews) {
			return;
		}

		const nowMs = clock.nowMs();
		observations.set(targetId, {
			requestsPerSecond,
			observedMs,
			recordedMs: nowMs,
			source,
		});
		const previousPerSecond = previous?.requestsPerSecond;
		if (requestsPerSecond !== previousPerSecond) {
			changed.fire({
				targetId,
				requestsPerSecond,
				previousPerSecond,
				source,
				ageMs: nowMs - observedMs,
			});
		}
	};

	const selectReports = (
		isSelected: (observation: Observation) => boolean,
	): RateLimitReport[] => {
		removeOldLifted();
		const nowMs = clock.nowMs();
		return [...observations]
			.filter(([, observation]) => isSelected(observation))
			.map(([targetId, {requestsPerSecond, observedMs}]) => ({
				targetId,
				requestsPerSecond,
				ageMs: nowMs - observedMs,
			}));
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
		recordResponse(targetId, head, sentMs) {
			const {rateLimit} = head;
			if (!isOfTarget(head)) {
				return;
			}

			if (rateLimit.state === 'limited') {
				const {requestsPerSecond} = rateLimit;
				record(targetId, requestsPerSecond, clock.nowMs(), 'response');
			} else if (rateLimit.state === 'unlimited') {
				// Responses may overtake each other. Only one to a request that was sent after the target had
				// named the limit shows that the limit is lifted.
				record(targetId, undefined, sentMs, 'response');
			}
		},
		recordReport({targetId, requestsPerSecond, ageMs}) {
			const observedMs = clock.nowMs() - Math.max(0, ageMs);
			record(targetId, requestsPerSecond, observedMs, 'peer');
		},
		reports: () => selectReports(() => true),
		ownReports: (sinceMs) =>
			selectReports(
				({source, recordedMs}) =>
					source === 'response' && recordedMs >= sinceMs,
			),
		forget(targetId) {
			const nowMs = clock.nowMs();
			if (observations.has(targetId)) {
				observations.set(targetId, {
					requestsPerSecond: undefined,
					observedMs: nowMs,
					recordedMs: nowMs,
					source: 'peer',
				});
			}
		},
	};
}
