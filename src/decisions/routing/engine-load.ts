import type {LoadReport, TargetActivity} from '../../common/index.js';
import {
	addForecast,
	createStreamForecast,
	horizonCount,
	horizonSteps,
	type StreamForecast,
} from './stream-forecast.js';

/** Estimate of one engine's load, from lagging reports, own streams and peers' activity. */
export type EngineLoad = {
	readonly capacityTokens: number;
	readonly preemptionsTotal: number;
	/** Generations that this VM and its peers have open there. */
	readonly openCount: number;
	/** Duration of one decoding step as this VM sees it, in milliseconds. */
	readonly stepMs: number;
	/** Tokens of this VM's streams. */
	readonly ownTokens: number;
	/** Preemptions in the last while, older ones counting less; at most a few. */
	recentPreemptions(nowMs: number): number;
	/** Adds one stream of this VM, or takes it off. */
	changeOwnStreams(
		forecast: StreamForecast,
		tokens: number,
		sign: 1 | -1,
		nowMs: number,
	): void;
	/** Replaces a stream's forecast and size. */
	updateOwnStream(
		before: StreamForecast,
		after: StreamForecast,
		grownTokens: number,
		nowMs: number,
	): void;
	recordReport(report: LoadReport, nowMs: number): void;
	/** @param atMs - monotonic time for which the activity holds */
	recordActivity(
		peer: string,
		activity: TargetActivity | undefined,
		atMs: number,
	): void;
	recordStepDuration(stepMs: number): void;
	/**
	 * Forecast peak of the engine's memory with one more stream, in tokens.
	 * @param added - forecast of the stream
	 * @param average - forecast of an average stream, which stands for each of the peers' streams
	 * @param deviations - standard deviations that are added as a margin
	 */
	peakTokens(
		added: StreamForecast,
		average: StreamForecast,
		deviations: number,
		nowMs: number,
	): number;
	/** What this VM tells its peers. */
	ownActivity(targetId: string): TargetActivity;
};

type PeerActivity = {
	readonly activity: TargetActivity;
	readonly atMs: number;
};

type Sample = {readonly atMs: number; readonly tokens: number};

const unreportedCapacityTokens = 100_000;
const growthWindowMs = 30_000;
const forgetPeerMs = 15_000;
const sampleIntervalMs = 100;
const keptSamples = 100;
const unknownSmoothing = 0.3;
const stepSmoothing = 0.05;
const firstStepMs = 20;
const recentMs = 20_000;
const maxRecentPreemptions = 6;
const defaultCoefficient = 1;

/** Creates the estimate for an idle engine. */
export function createEngineLoad(): EngineLoad {
	const own = createStreamForecast();
	const peers = new Map<string, PeerActivity>();
	const samples: Sample[] = [];
	let ownCount = 0;
	let ownTokens = 0;
	// Sums over the peers, since placement reads them for each engine.
	let peerCount = 0;
	let peerOpenTokens = 0;
	let peerGrowth = 0;
	/** Growth of each peer multiplied by the time of its figures. */
	let peerGrowthMs = 0;
	let oldestPeerMs = Infinity;
	let capacityTokens = unreportedCapacityTokens;
	let preemptionsTotal = 0;
	let reported = false;
	let recentPreemptions = 0;
	let recentAtMs = 0;
	let lastSequence = -1;
	let unknownTokens = 0;
	let stepMs = firstStepMs;

	const peerTokens = (nowMs: number) => {
		const grown = (peerGrowth * nowMs - peerGrowthMs) / growthWindowMs;
		return Math.max(0, peerOpenTokens + grown);
	};

	const sample = (nowMs: number) => {
		const last = samples.at(-1);
		if (!last || nowMs - last.atMs >= sampleIntervalMs) {
			samples.push({atMs: nowMs, tokens: ownTokens + peerTokens(nowMs)});
			if (samples.length > keptSamples) {
				samples.shift();
			}
		}
	};

	const accountedAt = (atMs: number, nowMs: number) =>
		samples.findLast((one) => one.atMs <= atMs)?.tokens ??
		samples[0]?.tokens ??
		ownTokens + peerTokens(nowMs);

	const recentPreemptionsAt = (nowMs: number) =>
		recentPreemptions === 0
			? 0
			: recentPreemptions * Math.exp(-(nowMs - recentAtMs) / recentMs);

	const recountPeers = () => {
		peerCount = 0;
		peerOpenTokens = 0;
		peerGrowth = 0;
		peerGrowthMs = 0;
		oldestPeerMs = Infinity;
		for (const {activity, atMs} of peers.values()) {
			peerCount += activity.openCount;
			peerOpenTokens += activity.openTokens;
			peerGrowth += activity.expectedGrowthTokens;
			peerGrowthMs += activity.expectedGrowthTokens * atMs;
			oldestPeerMs = Math.min(oldestPeerMs, atMs);
		}
	};

	const forgetPeers = (nowMs: number) => {
		for (const [peer, {atMs}] of peers) {
			if (nowMs - atMs > forgetPeerMs) {
				peers.delete(peer);
			}
		}

		recountPeers();
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
			sample(nowMs);
			addForecast(own, forecast, sign);
			ownTokens += sign * tokens;
			ownCount += sign;
			if (ownCount === 0) {
				// Clears what rounding has left.
				own.meanTokens.fill(0);
				own.variance.fill(0);
				ownTokens = 0;
			}
		},
		updateOwnStream(before, after, grownTokens, nowMs) {
			sample(nowMs);
			addForecast(own, before, -1);
			addForecast(own, after, 1);
			ownTokens += grownTokens;
		},
		recordReport(report, nowMs) {
			sample(nowMs);
			capacityTokens = report.capacityTokens;
			if (reported) {
				const seen = Math.max(0, report.preemptionsTotal - preemptionsTotal);
				recentPreemptions = Math.min(
					maxRecentPreemptions,
					recentPreemptionsAt(nowMs) + seen,
				);
				recentAtMs = nowMs;
			}

			reported = true;
			preemptionsTotal = report.preemptionsTotal;
			if (report.sequence === lastSequence) {
				return;
			}

			lastSequence = report.sequence;
			// Whatever the report shows beyond the streams that were known at its time belongs to
			// somebody unknown and is taken to be there still.
			const accounted = accountedAt(nowMs - report.ageMs, nowMs);
			const beyond = Math.max(0, report.usedTokens - accounted);
			unknownTokens += unknownSmoothing * (beyond - unknownTokens);
		},
		recordActivity(peer, activity, atMs) {
			sample(atMs);
			if (activity) {
				peers.set(peer, {activity, atMs});
			} else {
				peers.delete(peer);
			}

			recountPeers();
		},
		recordStepDuration(observedMs) {
			stepMs += stepSmoothing * (observedMs - stepMs);
		},
		peakTokens(added, average, deviations, nowMs) {
			if (nowMs - oldestPeerMs > forgetPeerMs) {
				forgetPeers(nowMs);
			}

			const tokens = peerTokens(nowMs);
			const partPerStep = stepMs / growthWindowMs;
			let peak = 0;
			for (let index = 0; index < horizonCount; index++) {
				const part = Math.min(1, horizonSteps[index] * partPerStep);
				const mean =
					unknownTokens +
					own.meanTokens[index] +
					added.meanTokens[index] +
					Math.max(0, tokens + part * peerGrowth);
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
			const part =
				span === 0
					? defaultCoefficient
					: Math.min(1, (windowSteps - horizonSteps[low]) / span);
			const expected =
				own.meanTokens[low] * (1 - part) + own.meanTokens[high] * part;
			return {
				targetId,
				openCount: ownCount,
				openTokens: Math.round(ownTokens),
				expectedGrowthTokens: Math.round(expected - ownTokens),
			};
		},
	};
}
