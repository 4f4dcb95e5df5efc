import type {LoadReport, TargetActivity} from '../../common/index.js';
import {
	addForecast,
	createStreamForecast,
	horizonCount,
	horizonSteps,
	type StreamForecast,
} from './stream-forecast.js';

/**
 * Estimate of one engine's load. Combines its load reports, which lag, with the streams of this VM and the
 * reported activity of the peers.
 */
export type EngineLoad = {
	readonly capacityTokens: number;
	readonly preemptionsTotal: number;
	/** Generations that this VM and its peers have open on the engine. */
	readonly openCount: number;
	/** Duration of one decoding step as observed by this VM, in milliseconds. */
	readonly stepMs: number;
	/** Tokens that the streams of this VM hold. */
	readonly ownTokens: number;
	/** Number of recent preemptions, decayed exponentially and limited. */
	recentPreemptions(nowMs: number): number;
	/**
	 * Adds or removes one stream of this VM.
	 * @param tokens - tokens that the stream holds
	 */
	changeOwnStreams(
		forecast: StreamForecast,
		tokens: number,
		sign: 1 | -1,
		nowMs: number,
	): void;
	/** Updates the forecast and the size of one stream of this VM. */
	updateOwnStream(
		before: StreamForecast,
		after: StreamForecast,
		grownTokens: number,
		nowMs: number,
	): void;
	/** Records a load report; its age is taken into account. */
	recordReport(report: LoadReport, nowMs: number): void;
	/**
	 * Records the activity of a peer on the engine; undefined if it has none.
	 * @param atMs - monotonic time for which the activity was reported
	 */
	recordActivity(
		peer: string,
		activity: TargetActivity | undefined,
		atMs: number,
	): void;
	/** Updates the moving average of the step duration. */
	recordStepDuration(stepMs: number): void;
	/**
	 * Forecast of the peak memory of the engine with one more stream, in tokens.
	 * @param added - forecast of the additional stream
	 * @param average - forecast of an average stream, used for each stream of the peers
	 * @param deviations - standard deviations that are added as a margin
	 */
	peakTokens(
		added: StreamForecast,
		average: StreamForecast,
		deviations: number,
		nowMs: number,
	): number;
	/** Activity of this VM on the engine, as reported to the peers. */
	ownActivity(targetId: string): TargetActivity;
};

type PeerActivity = {
	readonly activity: TargetActivity;
	readonly atMs: number;
};

type Sample = {readonly atMs: number; readonly tokens: number};

// Assumed capacity before the first load report.
const unreportedCapacityTokens = 100_000;
// Period that `TargetActivity.expectedGrowthTokens` covers.
const growthWindowMs = 30_000;
// Activity of a peer that is older than this is dropped.
const peerTimeoutMs = 15_000;
// Samples of the accounted tokens, for comparison with load reports of an earlier time.
const sampleIntervalMs = 100;
const maxSamples = 100;
// Weights of the newest value in moving averages.
const unaccountedSmoothing = 0.3;
const stepSmoothing = 0.05;
// Assumed step duration before any has been observed.
const initialStepMs = 20;
// Decay time of the count of recent preemptions.
const preemptionDecayMs = 20_000;
const maxRecentPreemptions = 6;
const fullWeight = 1;

/** Creates the estimate of an engine without streams or reports. */
export function createEngineLoad(): EngineLoad {
	const own = createStreamForecast();
	const peers = new Map<string, PeerActivity>();
	const samples: Sample[] = [];
	let ownCount = 0;
	let ownTokens = 0;
	// Precomputed sums over the peers, since placement reads them for each engine.
	let peerCount = 0;
	let peerOpenTokens = 0;
	let peerGrowth = 0;
	/** Sum over the peers of expected growth times the time of its report. */
	let peerGrowthByReportMs = 0;
	let oldestPeerMs = Infinity;
	let capacityTokens = unreportedCapacityTokens;
	let preemptionsTotal = 0;
	let hasReport = false;
	let recentPreemptions = 0;
	let recentAtMs = 0;
	let lastSequence = -1;
	let unaccountedTokens = 0;
	let stepMs = initialStepMs;

	const peerTokens = (nowMs: number) => {
		const grownTokens =
			(peerGrowth * nowMs - peerGrowthByReportMs) / growthWindowMs;
		return Math.max(0, peerOpenTokens + grownTokens);
	};

	const recordSample = (nowMs: number) => {
		const last = samples.at(-1);
		if (!last || nowMs - last.atMs >= sampleIntervalMs) {
			samples.push({atMs: nowMs, tokens: ownTokens + peerTokens(nowMs)});
			if (samples.length > maxSamples) {
				samples.shift();
			}
		}
	};

	const accountedTokensAt = (atMs: number, nowMs: number) =>
		samples.findLast((one) => one.atMs <= atMs)?.tokens ??
		samples[0]?.tokens ??
		ownTokens + peerTokens(nowMs);

	const recentPreemptionsAt = (nowMs: number) =>
		recentPreemptions === 0
			? 0
			: recentPreemptions * Math.exp(-(nowMs - recentAtMs) / preemptionDecayMs);

	const updatePeerSums = () => {
		peerCount = 0;
		peerOpenTokens = 0;
		peerGrowth = 0;
		peerGrowthByReportMs = 0;
		oldestPeerMs = Infinity;
		for (const {activity, atMs} of peers.values()) {
			peerCount += activity.openCount;
			peerOpenTokens += activity.openTokens;
			peerGrowth += activity.expectedGrowthTokens;
			peerGrowthByReportMs += activity.expectedGrowthTokens * atMs;
			oldestPeerMs = Math.min(oldestPeerMs, atMs);
		}
	};

	const removeStalePeers = (nowMs: number) => {
		for (const [peer, {atMs}] of peers) {
			if (nowMs - atMs > peerTimeoutMs) {
				peers.delete(peer);
			}
		}

		updatePeerSums();
	};

	return {
		get capacityTokens() {
			return capacityTokens;
		},
		get preemptionsTotal() {
			return preemptionsTotal;
		},
		get openCount() {
			return ownCount + peerCount;
		},
		get stepMs() {
			return stepMs;
		},
		recentPreemptions(nowMs) {
			return recentPreemptionsAt(nowMs);
		},
		get ownTokens() {
			return ownTokens;
		},
		changeOwnStreams(forecast, tokens, sign, nowMs) {
			recordSample(nowMs);
			addForecast(own, forecast, sign);
			ownTokens += sign * tokens;
			ownCount += sign;
			if (ownCount === 0) {
				// Resets the rounding errors of repeated additions and subtractions.
				own.meanTokens.fill(0);
				own.variance.fill(0);
				ownTokens = 0;
			}
		},
		updateOwnStream(before, after, grownTokens, nowMs) {
			recordSample(nowMs);
			addForecast(own, before, -1);
			addForecast(own, after, 1);
			ownTokens += grownTokens;
		},
		recordReport(report, nowMs) {
			recordSample(nowMs);
			capacityTokens = report.capacityTokens;
			if (hasReport) {
				const newPreemptions = Math.max(
					0,
					report.preemptionsTotal - preemptionsTotal,
				);
				recentPreemptions = Math.min(
					maxRecentPreemptions,
					recentPreemptionsAt(nowMs) + newPreemptions,
				);
				recentAtMs = nowMs;
			}

			hasReport = true;
			preemptionsTotal = report.preemptionsTotal;
			if (report.sequence === lastSequence) {
				return;
			}

			lastSequence = report.sequence;
			// Tokens in the report beyond the streams that were known at its time belong to unknown senders and
			// are assumed to be still there.
			const accountedTokens = accountedTokensAt(nowMs - report.ageMs, nowMs);
			const excessTokens = Math.max(0, report.usedTokens - accountedTokens);
			unaccountedTokens +=
				unaccountedSmoothing * (excessTokens - unaccountedTokens);
		},
		recordActivity(peer, activity, atMs) {
			recordSample(atMs);
			if (activity) {
				peers.set(peer, {activity, atMs});
			} else {
				peers.delete(peer);
			}

			updatePeerSums();
		},
		recordStepDuration(observedMs) {
			stepMs += stepSmoothing * (observedMs - stepMs);
		},
		peakTokens(added, average, deviations, nowMs) {
			if (nowMs - oldestPeerMs > peerTimeoutMs) {
				removeStalePeers(nowMs);
			}

			const tokens = peerTokens(nowMs);
			const fractionPerStep = stepMs / growthWindowMs;
			let peak = 0;
			for (let index = 0; index < horizonCount; index++) {
				const fraction = Math.min(1, horizonSteps[index] * fractionPerStep);
				const mean =
					unaccountedTokens +
					own.meanTokens[index] +
					added.meanTokens[index] +
					Math.max(0, tokens + fraction * peerGrowth);
				const variance =
					own.variance[index] +
					added.variance[index] +
					peerCount * average.variance[index];
				const tokensAtPeak =
					mean + deviations * Math.sqrt(Math.max(0, variance));
				if (tokensAtPeak > peak) {
					peak = tokensAtPeak;
				}
			}

			return peak;
		},
		ownActivity(targetId) {
			const windowSteps = growthWindowMs / stepMs;
			const after = horizonSteps.findIndex((steps) => steps >= windowSteps);
			const high = after === -1 ? horizonCount - 1 : after;
			const low = Math.max(0, high - 1);
			const span = horizonSteps[high] - horizonSteps[low];
			const fraction =
				span === 0
					? fullWeight
					: Math.min(1, (windowSteps - horizonSteps[low]) / span);
			const expected =
				own.meanTokens[low] * (1 - fraction) + own.meanTokens[high] * fraction;
			return {
				targetId,
				openCount: ownCount,
				openTokens: Math.round(ownTokens),
				expectedGrowthTokens: Math.round(expected - ownTokens),
			};
		},
	};
}
