import type {CostWeights} from '../../common/index.js';

/** Results of one policy at one load, printed as JSON. */
export type PolicyFigures = {
	/** Sum, over all gaps between tokens, of the time beyond 250 ms. */
	readonly stallMs: number;
	readonly preemptions: number;
	readonly interTokenP99Ms: number;
	readonly firstTokenP95Ms: number;
	/** See `ContractCompliance.worstMinuteRatio`. */
	readonly worstMinuteRatio: number;
	/** Number of finished requests. */
	readonly finished: number;
	/** Number of requests that arrived. */
	readonly offered: number;
	/** Stalls and preemptions for each finished request and the 99th percentile of token gaps, weighted. */
	readonly weightedCost: number;
};

/** Collects the measurements of a run. */
export type Measurements = {
	/** Sum of the output tokens of the finished requests. */
	readonly finishedTokens: number;
	/** Records the time between two successive tokens of one stream. */
	recordTokenGap(gapMs: number): void;
	recordFirstToken(waitMs: number): void;
	recordFinished(tokens: number): void;
	recordPreemptions(count: number): void;
	computeFigures(
		offered: number,
		weights: CostWeights,
		worstMinuteRatio: number,
	): PolicyFigures;
};

// Histogram buckets are a factor of 2 ** (1 / 32) wide, about 2% of the value.
const bucketsPerOctave = 32;
const bucketCount = 32 * bucketsPerOctave;
const stallThresholdMs = 250;
const millisecondsPerSecond = 1000;

function roundToSixDigits(value: number): number {
	return Number(value.toPrecision(6));
}

export function createMeasurements(): Measurements {
	const gapHistogram = new Float64Array(bucketCount);
	const firstTokenWaitsMs: number[] = [];
	let gapCount = 0;
	let stallMs = 0;
	let finishedCount = 0;
	let finishedTokens = 0;
	let preemptionCount = 0;
	let lastGapMs = -1;
	let lastBucket = 0;

	const gapQuantile = (fraction: number) => {
		let remainder = fraction * gapCount;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			remainder -= gapHistogram[bucket];
			if (remainder <= 0) {
				return 2 ** ((bucket + 0.5) / bucketsPerOctave);
			}
		}

		return 0;
	};

	return {
		get finishedTokens() {
			return finishedTokens;
		},
		recordTokenGap(gapMs) {
			if (gapMs !== lastGapMs) {
				lastGapMs = gapMs;
				lastBucket = Math.max(
					0,
					Math.min(
						bucketCount - 1,
						Math.floor(Math.log2(gapMs) * bucketsPerOctave),
					),
				);
			}

			gapHistogram[lastBucket]++;
			gapCount++;
			if (gapMs > stallThresholdMs) {
				stallMs += gapMs - stallThresholdMs;
			}
		},
		recordFirstToken(waitMs) {
			firstTokenWaitsMs.push(waitMs);
		},
		recordFinished(tokens) {
			finishedCount++;
			finishedTokens += tokens;
		},
		recordPreemptions(count) {
			preemptionCount += count;
		},
		computeFigures(offered, weights, worstMinuteRatio) {
			firstTokenWaitsMs.sort((a, b) => a - b);
			const interTokenP99Ms = gapQuantile(0.99);
			const weightedCost =
				(weights.stallPerSecond * stallMs) /
					millisecondsPerSecond /
					finishedCount +
				(weights.preemption * preemptionCount) / finishedCount +
				(weights.tailPerSecond * interTokenP99Ms) / millisecondsPerSecond;
			return {
				stallMs: Math.round(stallMs),
				preemptions: preemptionCount,
				interTokenP99Ms: roundToSixDigits(interTokenP99Ms),
				firstTokenP95Ms: roundToSixDigits(
					firstTokenWaitsMs[Math.floor(firstTokenWaitsMs.length * 0.95)] ?? 0,
				),
				worstMinuteRatio: roundToSixDigits(worstMinuteRatio),
				finished: finishedCount,
				offered,
				weightedCost: roundToSixDigits(weightedCost),
			};
		},
	};
}
