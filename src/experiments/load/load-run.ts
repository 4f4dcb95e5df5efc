import {build, type Histogram} from 'hdr-histogram-js';
import type {RandomSource} from '../../common/index.js';
import {callBooking, callGeneration} from '../callers/index.js';

/** Options of a load run. */
export type LoadOptions = {
	/** Base URLs of the entry VMs. */
	readonly entryUrls: readonly string[];
	readonly token: string;
	readonly model: string;
	readonly requestClass: string;
	readonly delivery: 'whole' | 'restartable' | 'live';
	/** Mean rate of generations; arrivals are a Poisson process. */
	readonly generationsPerSecond: number;
	/** Mean rate of bookings. */
	readonly bookingsPerSecond: number;
	readonly service: string;
	/** Duration of the arrivals, in milliseconds. */
	readonly durationMs: number;
	/** Calls in flight above which arrivals are counted as skipped. */
	readonly maxInFlight: number;
	readonly random: RandomSource;
};

/** Quantiles of a histogram in milliseconds. */
export type Quantiles = {
	readonly p50Ms: number;
	readonly p95Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Figures of a load run. */
export type LoadReport = {
	readonly offered: number;
	readonly skipped: number;
	readonly answersWhole: number;
	readonly answersBroken: number;
	readonly tokens: number;
	readonly restarts: number;
	readonly resumes: number;
	readonly bookings: number;
	readonly bookingsFailed: number;
	/** Refusals and failures by problem type. */
	readonly problems: Readonly<Record<string, number>>;
	readonly firstToken: Quantiles;
	readonly betweenTokens: Quantiles;
	readonly generation: Quantiles;
	readonly booking: Quantiles;
};

const maxAttempts = 10;

function createHistogram(): Histogram {
	return build({
		bitBucketSize: 32,
		autoResize: true,
		lowestDiscernibleValue: 1,
		highestTrackableValue: 3_600_000,
		numberOfSignificantValueDigits: 3,
	});
}

function quantilesOf(histogram: Histogram): Quantiles {
	return {
		p50Ms: histogram.getValueAtPercentile(50),
		p95Ms: histogram.getValueAtPercentile(95),
		p99Ms: histogram.getValueAtPercentile(99),
		maxMs: histogram.maxValue,
	};
}

/** Offers load for a bounded time and waits for the calls in flight. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const {random} = options;
	const histograms = {
		firstToken: createHistogram(),
		betweenTokens: createHistogram(),
		generation: createHistogram(),
		booking: createHistogram(),
	};
	const problems: Record<string, number> = {};
	const counts = {
		offered: 0,
		skipped: 0,
		answersWhole: 0,
		answersBroken: 0,
		tokens: 0,
		restarts: 0,
		resumes: 0,
		bookings: 0,
		bookingsFailed: 0,
	};
	const inFlight = new Set<Promise<void>>();

	const noteProblem = (type: string | undefined) => {
		if (type !== undefined) {
			problems[type] = (problems[type] ?? 0) + 1;
		}
	};

	const generate = async (index: number) => {
		const startedMs = performance.now();
		const first = random.nextInt(options.entryUrls.length);
		const outcome = await callGeneration({
			entryUrls: [
				...options.entryUrls.slice(first),
				...options.entryUrls.slice(0, first),
			],
			token: options.token,
			model: options.model,
			requestClass: options.requestClass,
			prompt: `load ${index} ${random.nextInt(2 ** 31)}`,
			delivery: options.delivery,
			maxAttempts,
			onGap(gapMs, isFirst) {
				const histogram = isFirst
					? histograms.firstToken
					: histograms.betweenTokens;
				histogram.recordValue(Math.round(gapMs));
			},
		});
		counts.tokens += outcome.tokens;
		counts.restarts += outcome.restarts;
		counts.resumes += outcome.resumes;
		noteProblem(outcome.problem);
		if (outcome.isComplete) {
			counts.answersWhole++;
			histograms.generation.recordValue(
				Math.round(performance.now() - startedMs),
			);
		} else if (outcome.isAccepted) {
			counts.answersBroken++;
		}
	};

	const book = async () => {
		const startedMs = performance.now();
		const outcome = await callBooking({
			entryUrls: options.entryUrls,
			token: options.token,
			service: options.service,
			repeats: 0,
			maxAttempts,
		});
		noteProblem(outcome.problem);
		if (outcome.isBooked) {
			counts.bookings++;
			histograms.booking.recordValue(Math.round(performance.now() - startedMs));
		} else {
			counts.bookingsFailed++;
		}
	};

	const launch = (call: () => Promise<void>) => {
		counts.offered++;
		if (inFlight.size >= options.maxInFlight) {
			counts.skipped++;
			return;
		}

		const running = call();
		inFlight.add(running);
		void running.finally(() => {
			inFlight.delete(running);
		});
	};

	const arrive = async (
		ratePerSecond: number,
		call: (index: number) => Promise<void>,
	) => {
		const endMs = performance.now() + options.durationMs;
		let nextMs = performance.now();
		if (ratePerSecond === 0) {
			return;
		}

		for (let index = 0; ; index++) {
			nextMs += (-Math.log(1 - random.nextUnit()) * 1000) / ratePerSecond;
			if (nextMs > endMs) {
				return;
			}

			const delayMs = nextMs - performance.now();
			if (delayMs > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, delayMs);
				});
			}

			launch(async () => call(index));
		}
	};

	await Promise.all([
		arrive(options.generationsPerSecond, generate),
		arrive(options.bookingsPerSecond, book),
	]);
	await Promise.all(inFlight);
	return {
		...counts,
		problems,
		firstToken: quantilesOf(histograms.firstToken),
		betweenTokens: quantilesOf(histograms.betweenTokens),
		generation: quantilesOf(histograms.generation),
		booking: quantilesOf(histograms.booking),
	};
}
