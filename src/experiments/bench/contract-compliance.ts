import type {BenchRequest} from './arrivals.js';

/** Tokens by minute that callers received, and how they compare with the contracts. */
export type ContractCompliance = {
	/** Counts a token that reached its caller. */
	recordToken(request: BenchRequest, minute: number): void;
	/**
	 * Smallest ratio, over accounts and minutes, of the tokens delivered to the smaller of the floor
	 * and what the account's offered work could have used.
	 * @param floors - tokens a minute by account
	 */
	worstMinuteRatio(
		requests: readonly BenchRequest[],
		floors: ReadonlyMap<string, number>,
	): number;
};

const minuteMs = 60_000;

/**
 * Creates empty counts.
 * @param minutes - full minutes that count
 * @param paceMs - time between tokens on a full engine, in milliseconds
 * @param firstTokenMs - time in which the first token is due, in milliseconds
 */
export function createContractCompliance(
	minutes: number,
	paceMs: number,
	firstTokenMs: number,
): ContractCompliance {
	const received = new Map<BenchRequest, Float64Array>();

	/**
	 * Adds what one request could have used in each minute: what it lacks at the minute's start, at
	 * the pace of a full engine. A request that never ran would have ended at that pace.
	 */
	const addUsable = (usable: Float64Array, request: BenchRequest) => {
		const row = received.get(request);
		const startMs = request.arrivalMs + firstTokenMs;
		let done = 0;
		for (
			let minute = Math.floor(startMs / minuteMs);
			minute < minutes && done < request.outputTokens;
			minute++
		) {
			const fromMs = Math.max(startMs, minute * minuteMs);
			const possible = ((minute + 1) * minuteMs - fromMs) / paceMs;
			const used = Math.min(request.outputTokens - done, possible);
			usable[minute] += used;
			done += row ? row[minute] : used;
		}
	};

	return {
		recordToken(request, minute) {
			let row = received.get(request);
			if (!row) {
				row = new Float64Array(minutes);
				received.set(request, row);
			}

			if (minute < minutes) {
				row[minute]++;
			}
		},
		worstMinuteRatio(requests, floors) {
			const usable = new Map<string, Float64Array>();
			const delivered = new Map<string, Float64Array>();
			for (const account of floors.keys()) {
				usable.set(account, new Float64Array(minutes));
				delivered.set(account, new Float64Array(minutes));
			}

			for (const request of requests) {
				addUsable(usable.get(request.account)!, request);
				const sums = delivered.get(request.account)!;
				for (const [minute, tokens] of received.get(request)?.entries() ?? []) {
					sums[minute] += tokens;
				}
			}

			let worst = Infinity;
			for (const [account, floor] of floors) {
				for (const [minute, tokens] of usable.get(account)!.entries()) {
					const due = Math.min(floor, tokens);
					if (due > 0) {
						worst = Math.min(worst, delivered.get(account)![minute] / due);
					}
				}
			}

			return worst;
		},
	};
}
