import type {BenchRequest} from './arrivals.js';

/** Counts the tokens that callers receive in each minute and compares them with the contract floors. */
export type ContractCompliance = {
	/** Counts a token that was delivered to its caller. */
	recordToken(request: BenchRequest, minute: number): void;
	/**
	 * Returns the smallest ratio, over accounts and minutes, of the delivered tokens to the due tokens.
	 * Due is the account's floor, or its demand if that is smaller.
	 * @param requests - all requests of the run
	 * @param floors - floors in tokens per minute, by account
	 */
	worstMinuteRatio(
		requests: readonly BenchRequest[],
		floors: ReadonlyMap<string, number>,
	): number;
};

const minuteMs = 60_000;

/**
 * @param minutes - number of minutes that are counted; later tokens are ignored
 * @param tokenIntervalMs - time between two tokens of a stream on a full engine
 * @param firstTokenMs - time after the arrival at which the first token is due
 */
export function createContractCompliance(
	minutes: number,
	tokenIntervalMs: number,
	firstTokenMs: number,
): ContractCompliance {
	const receivedByRequest = new Map<BenchRequest, Float64Array>();

	/**
	 * Adds the demand of one request in each minute: the tokens that it still lacks at the start of the
	 * minute, limited to the token rate of a full engine. A request that received no token is assumed to
	 * have run at that rate, so that it stops counting once it would have finished.
	 */
	const addDemand = (demand: Float64Array, request: BenchRequest) => {
		const tokensByMinute = receivedByRequest.get(request);
		const startMs = request.arrivalMs + firstTokenMs;
		let progressTokens = 0;
		for (
			let minute = Math.floor(startMs / minuteMs);
			minute < minutes && progressTokens < request.outputTokens;
			minute++
		) {
			const fromMs = Math.max(startMs, minute * minuteMs);
			const maxTokens = ((minute + 1) * minuteMs - fromMs) / tokenIntervalMs;
			const demandTokens = Math.min(
				request.outputTokens - progressTokens,
				maxTokens,
			);
			demand[minute] += demandTokens;
			progressTokens += tokensByMinute ? tokensByMinute[minute] : demandTokens;
		}
	};

	return {
		recordToken(request, minute) {
			let tokensByMinute = receivedByRequest.get(request);
			if (!tokensByMinute) {
				tokensByMinute = new Float64Array(minutes);
				receivedByRequest.set(request, tokensByMinute);
			}

			if (minute < minutes) {
				tokensByMinute[minute]++;
			}
		},
		worstMinuteRatio(requests, floors) {
			const demand = new Map<string, Float64Array>();
			const delivered = new Map<string, Float64Array>();
			for (const account of floors.keys()) {
				demand.set(account, new Float64Array(minutes));
				delivered.set(account, new Float64Array(minutes));
			}

			for (const request of requests) {
				addDemand(demand.get(request.account)!, request);
				const accountTokens = delivered.get(request.account)!;
				for (const [minute, tokens] of receivedByRequest
					.get(request)
					?.entries() ?? []) {
					accountTokens[minute] += tokens;
				}
			}

			let worstRatio = Infinity;
			for (const [account, floor] of floors) {
				for (const [minute, tokens] of demand.get(account)!.entries()) {
					const dueTokens = Math.min(floor, tokens);
					if (dueTokens > 0) {
						worstRatio = Math.min(
							worstRatio,
							delivered.get(account)![minute] / dueTokens,
						);
					}
				}
			}

			return worstRatio;
		},
	};
}
