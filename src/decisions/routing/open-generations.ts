import type {Clock} from '../../common/index.js';
import type {ContractLedger} from '../contracts/index.js';
import type {EngineTable} from './engine-table.js';
import type {LengthStatistics} from './length-statistics.js';
import {
	addForecast,
	createStreamForecast,
	forecastStream,
	horizonCount,
	type StreamForecast,
} from './stream-forecast.js';
import type {OpenGeneration} from './types.js';

/** How a generation ended, as routing cares. */
export type GenerationOutcome = 'finished' | 'lost' | 'cancelled';

/** What the set works with. */
export type OpenGenerationsOptions = {
	readonly clock: Clock;
	readonly engines: EngineTable;
	readonly statistics: LengthStatistics;
	readonly ledger: ContractLedger;
};

/** The generations that this VM has open, and what they add to the engines' load. */
export type OpenGenerations = {
	readonly size: number;
	/** Forecast of an average stream of this VM. */
	readonly average: StreamForecast;
	has(generationId: string): boolean;
	add(generationId: string, generation: OpenGeneration): void;
	progressed(generationId: string, producedTokens: number): void;
	/** @returns the generation, or undefined if it is not open */
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): OpenGeneration | undefined;
	/** Tokens that an account's streams on this VM should produce in the next minute. */
	nextMinuteTokens(account: string): number;
};

// Finer updates change a forecast by less than its own error.
const forecastEveryTokens = 16;
const minuteMs = 60_000;

/** Creates an empty set. */
export function createOpenGenerations(
	options: OpenGenerationsOptions,
): OpenGenerations {
	const {engines, statistics, ledger, clock} = options;
	const generations = new Map<string, OpenGeneration>();
	const sums = createStreamForecast();
	const average = createStreamForecast();
	const scratch = createStreamForecast();
	const nextMinute = new Map<string, number>();

	const project = (generation: OpenGeneration, tokens: number) => {
		const {account} = generation.request;
		const rest = tokens - generation.nextMinuteTokens;
		generation.nextMinuteTokens = tokens;
		nextMinute.set(account, (nextMinute.get(account) ?? 0) + rest);
	};

	const expectedInMinute = (generation: OpenGeneration, stepMs: number) =>
		Math.min(
			minuteMs / stepMs,
			generation.distribution.expectedRemaining(
				generation.forecastAtTokens,
				generation.request.maxTokens,
			),
		);

	const charge = (generation: OpenGeneration, producedTokens: number) => {
		const tokens = producedTokens - generation.chargedTokens;
		if (tokens > 0) {
			generation.chargedTokens = producedTokens;
			ledger.charge(generation.reservation, tokens, clock.wallMs());
		}
	};

	const refreshAverage = () => {
		const count = Math.max(1, generations.size);
		for (let index = 0; index < horizonCount; index++) {
			average.meanTokens[index] = sums.meanTokens[index] / count;
			average.variance[index] = Math.max(0, sums.variance[index]) / count;
		}
	};

	return {
		average,
		get size() {
			return generations.size;
		},
		has(generationId) {
			return generations.has(generationId);
		},
		add(generationId, generation) {
			const {request, forecast, forecastAtTokens} = generation;
			generations.set(generationId, generation);
			addForecast(sums, forecast, 1);
			const load = engines.get(generation.targetId)?.load;
			load?.changeOwnStreams(
				forecast,
				request.promptTokens + forecastAtTokens,
				1,
				clock.nowMs(),
			);
			project(
				generation,
				expectedInMinute(generation, load?.stepMs ?? minuteMs),
			);
			refreshAverage();
		},
		progressed(generationId, producedTokens) {
			const generation = generations.get(generationId);
			if (!generation) {
				return;
			}

			charge(generation, producedTokens);
			const grown = producedTokens - generation.forecastAtTokens;
			if (grown < forecastEveryTokens) {
				return;
			}

			const {request, forecast, distribution} = generation;
			const load = engines.get(generation.targetId)?.load;
			const nowMs = clock.nowMs();
			if (generation.forecastAtMs !== undefined) {
				load?.recordStepDuration((nowMs - generation.forecastAtMs) / grown);
			}

			generation.forecastAtMs = nowMs;
			generation.forecastAtTokens = producedTokens;
			const {promptTokens, maxTokens} = request;
			forecastStream(scratch, distribution, {
				promptTokens,
				producedTokens,
				maxTokens,
			});
			addForecast(sums, forecast, -1);
			addForecast(sums, scratch, 1);
			load?.updateOwnStream(forecast, scratch, grown, nowMs);
			forecast.meanTokens.set(scratch.meanTokens);
			forecast.variance.set(scratch.variance);
			project(
				generation,
				expectedInMinute(generation, load?.stepMs ?? minuteMs),
			);
		},
		ended(generationId, outcome, producedTokens) {
			const generation = generations.get(generationId);
			if (!generation) {
				return undefined;
			}

			const {request, forecast} = generation;
			generations.delete(generationId);
			charge(generation, producedTokens);
			ledger.release(generation.reservation);
			addForecast(sums, forecast, -1);
			engines
				.get(generation.targetId)
				?.load.changeOwnStreams(
					forecast,
					request.promptTokens + generation.forecastAtTokens,
					-1,
					clock.nowMs(),
				);
			project(generation, 0);
			if (outcome === 'finished') {
				statistics.record(
					request.account,
					request.requestClass,
					request.model,
					producedTokens,
				);
			}

			return generation;
		},
		nextMinuteTokens(account) {
			return nextMinute.get(account) ?? 0;
		},
	};
}
