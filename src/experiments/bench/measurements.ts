import type {CostWeights} from '../../common/index.js';

/** Figures of one policy at one load, as the bench prints them. */
export type PolicyFigures = {
	readonly stallMs: number;
	readonly preemptions: number;
	readonly interTokenP99Ms: number;
	readonly firstTokenP95Ms: number;
	readonly worstMinuteRatio: number;
	readonly finished: number;
	readonly offered: number;
	readonly weightedCost: number;
};

/** Collects what callers see during a run. */
export type Measurements = {
	readonly finishedTokens: number;
	/** Counts the time between two tokens of one stream. */
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

// One part in 32 of a doubling: about 2% of the value.
const bucketsPerOctave = 32;
const bucketCount = 32 * bucketsPerOctave;
const stallThresholdMs = 250;
const millisecondsPerSecond = 1000;

function rounded(value: number): number {
	return Number(value.toPrecision(6));
}

/** Creates empty measurements. */
export function createMeasurements(): Measurements {
	const gaps = new Float64Array(bucketCount);
	const waits: number[] = [];
	let gapCount = 0;
	let stallMs = 0;
	let finished = 0;
	let finishedTokens = 0;
	let preemptions = 0;
	let lastGapMs = -1;
	let lastBucket = 0;

	const gapQuantile = (part: number) => {
		let rest = part * gapCount;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			rest -= gaps[bucket];
			if (rest <= 0) {
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

			gaps[lastBucket]++;
			gapCount++;
			if (gapMs > stallThresholdMs) {
				stallMs += gapMs - stallThresholdMs;
			}
		},
		recordFirstToken(waitMs) {
			waits.push(waitMs);
		},
		recordFinished(tokens) {
			finished++;
			finishedTokens += tokens;
		},
		recordPreemptions(count) {
			preemptions += count;
		},
		computeFigures(offered, weights, worstMinuteRatio) {
			waits.sort((a, b) => a - b);
			const interTokenP99Ms = gapQuantile(0.99);
			const weightedCost =
				(weights.stallPerSecond * stallMs) / millisecondsPerSecond / finished +
				(weights.preemption * preemptions) / finished +
				(weights.tailPerSecond * interTokenP99Ms) / millisecondsPerSecond;
			return {
				stallMs: Math.round(stallMs),
				preemptions,
				interTokenP99Ms: rounded(interTokenP99Ms),
				firstTokenP95Ms: rounded(waits[Math.floor(waits.length * 0.95)] ?? 0),
				worstMinuteRatio: rounded(worstMinuteRatio),
				finished,
				offered,
				weightedCost: rounded(weightedCost),
			};
		},
	};
}
