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

/** How a generation ended at its engine. */
export type GenerationOutcome = 'finished' | 'lost' | 'cancelled';

export type OpenGenerationsOptions = {
	readonly clock: Clock;
	readonly engines: EngineTable;
	readonly statistics: LengthStatistics;
	readonly ledger: ContractLedger;
};

/** Open generations of this VM. Keeps the load estimates of their engines and their charges up to date. */
export type OpenGenerations = {
	readonly size: number;
	/** Forecast of an average stream of this VM. */
	readonly average: StreamForecast;
	has(generationId: string): boolean;
	/** Adds a generation to the set and to the load of its engine. */
	add(generationId: string, generation: OpenGeneration): void;
	/** Charges new tokens and updates the forecast of a generation; ignored if it is not open. */
	progressed(generationId: string, producedTokens: number): void;
	/**
	 * Removes a generation and releases its reservation; the length of a finished one is recorded.
	 * @returns the generation, or undefined if it is not open
	 */
	ended(
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	): OpenGeneration | undefined;
	/** Expected output of an account's streams on this VM in the next minute, in tokens. */
	nextMinuteTokens(account: string): number;
};

// A forecast is updated every so many tokens; more frequent updates would change it by less than its error.
const forecastEveryTokens = 16;
const minuteMs = 60_000;

export function createOpenGenerations(
	options: OpenGenerationsOptions,
): OpenGenerations {
	const {engines, statistics, ledger, clock} = options;
	const generations = new Map<string, OpenGeneration>();
	const forecastSums = createStreamForecast();
	const average = createStreamForecast();
	const updatedForecast = createStreamForecast();
	const nextMinuteByAccount = new Map<string, number>();

	const setNextMinuteTokens = (generation: OpenGeneration, tokens: number) => {
		const {account} = generation.request;
		const change = tokens - generation.nextMinuteTokens;
		generation.nextMinuteTokens = tokens;
		nextMinuteByAccount.set(
			account,
			(nextMinuteByAccount.get(account) ?? 0) + change,
		);
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
			average.meanTokens[index] = forecastSums.meanTokens[index] / count;
			average.variance[index] =
				Math.max(0, forecastSums.variance[index]) / count;
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
			addForecast(forecastSums, forecast, 1);
			const load = engines.get(generation.targetId)?.load;
			load?.changeOwnStreams(
				forecast,
				request.promptTokens + forecastAtTokens,
				1,
				clock.nowMs(),
			);
			setNextMinuteTokens(
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
			const grownTokens = producedTokens - generation.forecastAtTokens;
			if (grownTokens < forecastEveryTokens) {
				return;
			}

			const {request, forecast, distribution} = generation;
			const load = engines.get(generation.targetId)?.load;
			const nowMs = clock.nowMs();
			if (generation.forecastAtMs !== undefined) {
				load?.recordStepDuration(
					(nowMs - generation.forecastAtMs) / grownTokens,
				);
			}

			generation.forecastAtMs = nowMs;
			generation.forecastAtTokens = producedTokens;
			const {promptTokens, maxTokens} = request;
			forecastStream(updatedForecast, distribution, {
				promptTokens,
				producedTokens,
				maxTokens,
			});
			addForecast(forecastSums, forecast, -1);
			addForecast(forecastSums, updatedForecast, 1);
			load?.updateOwnStream(forecast, updatedForecast, grownTokens, nowMs);
			forecast.meanTokens.set(updatedForecast.meanTokens);
			forecast.variance.set(updatedForecast.variance);
			setNextMinuteTokens(
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
			addForecast(forecastSums, forecast, -1);
			engines
				.get(generation.targetId)
				?.load.changeOwnStreams(
					forecast,
					request.promptTokens + generation.forecastAtTokens,
					-1,
					clock.nowMs(),
				);
			setNextMinuteTokens(generation, 0);
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
			return nextMinuteByAccount.get(account) ?? 0;
		},
	};
}
