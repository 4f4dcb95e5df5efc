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
	/** Preemptions in the last while, older ones counting less; at most a few. */
	recentPreemptions(nowMs: number): number;
	/** Tokens of this VM's streams. */
	readonly ownTokens: number;
	/** Adds one stream of this VM, or takes it off. */
	changeOwn(
		forecast: StreamForecast,
		tokens: number,
		sign: 1 | -1,
		nowMs: number,
	): void;
	/** Replaces a stream's forecast and size. */
	updateOwn(
		before: StreamForecast,
		after: StreamForecast,
		grownTokens: number,
		nowMs: number,
	): void;
	noteReport(report: LoadReport, nowMs: number): void;
	/** @param atMs - monotonic time for which the activity holds */
	noteActivity(
		peer: string,
		activity: TargetActivity | undefined,
		atMs: number,
	): void;
	noteStep(stepMs: number): void;
	/** Writes the forecast of the engine's memory. */
	forecast(into: StreamForecast, own: StreamForecast, nowMs: number): void;
	/** What this VM tells its peers. */
	activity(targetId: string): TargetActivity;
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
	let peerCount = 0;
	let capacityTokens = unreportedCapacityTokens;
	let preemptionsTotal = 0;
	let reported = false;
	let recentPreemptions = 0;
	let recentAtMs = 0;
	let lastSequence = -1;
	let unknownTokens = 0;
	let stepMs = firstStepMs;

	const peerTokens = (nowMs: number) => {
		let tokens = 0;
		for (const {activity, atMs} of peers.values()) {
			const part = Math.min(1, Math.max(0, nowMs - atMs) / growthWindowMs);
			tokens += Math.max(
				0,
				activity.openTokens + part * activity.expectedGrowthTokens,
			);
		}

		return tokens;
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
		for (const {activity} of peers.values()) {
			peerCount += activity.openCount;
		}
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
		changeOwn(forecast, tokens, sign, nowMs) {
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
		updateOwn(before, after, grownTokens, nowMs) {
			sample(nowMs);
			addForecast(own, before, -1);
			addForecast(own, after, 1);
			ownTokens += grownTokens;
		},
		noteReport(report, nowMs) {
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
		noteActivity(peer, activity, atMs) {
			sample(atMs);
			if (activity) {
				peers.set(peer, {activity, atMs});
			} else {
				peers.delete(peer);
			}

			recountPeers();
		},
		noteStep(observedMs) {
			stepMs += stepSmoothing * (observedMs - stepMs);
		},
		forecast(into, average, nowMs) {
			let tokens = 0;
			let growth = 0;
			for (const [peer, {activity, atMs}] of peers) {
				const ageMs = Math.max(0, nowMs - atMs);
				if (ageMs > forgetPeerMs) {
					peers.delete(peer);
					recountPeers();
					continue;
				}

				tokens +=
					activity.openTokens +
					Math.min(1, ageMs / growthWindowMs) * activity.expectedGrowthTokens;
				growth += activity.expectedGrowthTokens;
			}

			const windowSteps = growthWindowMs / stepMs;
			for (let index = 0; index < horizonCount; index++) {
				const part = Math.min(1, horizonSteps[index] / windowSteps);
				into.meanTokens[index] =
					unknownTokens +
					own.meanTokens[index] +
					Math.max(0, tokens + part * growth);
				into.variance[index] =
					own.variance[index] + peerCount * average.variance[index];
			}
		},
		activity(targetId) {
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
