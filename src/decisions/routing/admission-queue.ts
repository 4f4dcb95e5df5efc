/** A request that waits for a place. */
export type WaitingRequest = {
	readonly account: string;
	readonly requestClass: string;
	/** Tokens that the request is expected to take, prompt included. */
	readonly expectedTokens: number;
	/** Monotonic time of arrival, in milliseconds. */
	readonly arrivedMs: number;
	/** Monotonic time at which it is refused, in milliseconds. */
	readonly deadlineMs: number;
};

/** How the queue sees a client account at this moment. */
export type AccountPriority = {
	/** True while the account gets less than its floor. */
	readonly hasFloorPriority: boolean;
	readonly shareWeight: number;
};

/** Bounded queue that is fair by tokens across client accounts and serves floors first. */
export type AdmissionQueue<R extends WaitingRequest> = {
	readonly length: number;
	readonly waitingTokens: number;
	/**
	 * Time until a new request would be placed, in milliseconds, or undefined while nothing is known:
	 * the requests ahead in its line at the pace at which the line moved lately.
	 */
	expectedWaitMs(
		account: string,
		requestClass: string,
		nowMs: number,
	): number | undefined;
	/** @returns false if the queue is full */
	add(request: R): boolean;
	remove(request: R): boolean;
	/** Removes and returns the requests whose time is over. */
	takeExpired(nowMs: number): R[];
	/**
	 * Offers waiting requests in fair order until none can be placed.
	 * @param standingOf - called once for each waiting account
	 * @param place - tries to place a request and tells whether it did
	 */
	serve(
		nowMs: number,
		standingOf: (account: string) => AccountPriority,
		place: (request: R, standing: AccountPriority) => boolean,
	): void;
	/** Counts tokens that an account was given without waiting, or corrects an estimate. */
	charge(account: string, tokens: number, shareWeight: number): void;
};

type Line<R> = {
	readonly requests: R[];
	/** Requests served and time passed, older ones counting less. */
	servedCount: number;
	passedMs: number;
	atMs: number;
};

type Account<R> = {
	readonly name: string;
	/** One line for each class, so that long requests do not block short ones. */
	readonly lines: Map<string, Line<R>>;
	waitingCount: number;
};

const rateHalfLifeMs = 10_000;
const minPassedMs = 1000;
const maxTriesPerServe = 64;
const keptVirtualTimes = 10_000;

/**
 * Creates an empty queue.
 * @param maxLength - largest number of waiting requests
 */
export function createAdmissionQueue<R extends WaitingRequest>(
	maxLength: number,
): AdmissionQueue<R> {
	const accounts = new Map<string, Account<R>>();
	// Tokens given divided by weight; the smallest is served next.
	const virtualTimes = new Map<string, number>();
	let length = 0;
	let waitingTokens = 0;
	let virtualNow = 0;

	const virtualTimeOf = (account: string) =>
		Math.max(virtualNow, virtualTimes.get(account) ?? 0);

	const charge = (account: string, tokens: number, shareWeight: number) => {
		const time = virtualTimeOf(account) + tokens / shareWeight;
		virtualTimes.delete(account);
		virtualTimes.set(account, time);
		if (virtualTimes.size > keptVirtualTimes) {
			const [oldest] = virtualTimes.keys();
			virtualTimes.delete(oldest);
		}
	};

	const passTime = (line: Line<R>, nowMs: number) => {
		const passedMs = Math.max(0, nowMs - line.atMs);
		const decay = 0.5 ** (passedMs / rateHalfLifeMs);
		line.servedCount *= decay;
		line.passedMs = line.passedMs * decay + passedMs;
		line.atMs = nowMs;
	};

	const take = (account: Account<R>, line: Line<R>, index: number) => {
		const [request] = line.requests.splice(index, 1);
		account.waitingCount--;
		length--;
		waitingTokens -= request.expectedTokens;
		if (line.requests.length === 0) {
			account.lines.delete(request.requestClass);
		}

		if (account.waitingCount === 0) {
			accounts.delete(account.name);
		}

		return request;
	};

	/** Short requests first, but the longer one has waited, the shorter it counts. */
	const urgency = (request: R, nowMs: number) => {
		const limitMs = Math.max(1, request.deadlineMs - request.arrivedMs);
		const leftPart = (request.deadlineMs - nowMs) / limitMs;
		return request.expectedTokens * Math.max(0, leftPart);
	};

	const headsOf = (account: Account<R>, nowMs: number) =>
		[...account.lines.values()]
			.map((line) => line.requests[0])
			.sort((a, b) => urgency(a, nowMs) - urgency(b, nowMs));

	const serveOnce = (
		order: ReadonlyArray<{account: Account<R>; standing: AccountPriority}>,
		place: (request: R, standing: AccountPriority) => boolean,
		budget: {tries: number; readonly nowMs: number},
	): boolean => {
		for (const {account, standing} of order) {
			for (const head of headsOf(account, budget.nowMs)) {
				if (budget.tries-- <= 0) {
					return false;
				}

				if (place(head, standing)) {
					const line = account.lines.get(head.requestClass)!;
					passTime(line, budget.nowMs);
					line.servedCount++;
					take(account, line, 0);
					virtualNow = Math.max(
						virtualNow,
						Math.min(
							...[...accounts.keys(), account.name].map((name) =>
								virtualTimeOf(name),
							),
						),
					);
					charge(account.name, head.expectedTokens, standing.shareWeight);
					return true;
				}
			}
		}

		return false;
	};

	return {
		get length() {
			return length;
		},
		get waitingTokens() {
			return waitingTokens;
		},
		expectedWaitMs(account, requestClass, nowMs) {
			const line = accounts.get(account)?.lines.get(requestClass);
			if (!line) {
				return 0;
			}

			passTime(line, nowMs);
			if (line.passedMs < minPassedMs) {
				return undefined;
			}

			// The pace is taken one standard deviation above what was seen, since a request that is refused
			// too early is lost, and one that waits in vain only learns of it later.
			const served = line.servedCount + 1 + Math.sqrt(line.servedCount);
			return (line.requests.length * line.passedMs) / served;
		},
		add(request) {
			if (length >= maxLength) {
				return false;
			}

			let account = accounts.get(request.account);
			if (!account) {
				account = {
					name: request.account,
					lines: new Map(),
					waitingCount: 0,
				};
				accounts.set(request.account, account);
			}

			const line = account.lines.get(request.requestClass);
			if (line) {
				line.requests.push(request);
			} else {
				account.lines.set(request.requestClass, {
					requests: [request],
					servedCount: 0,
					passedMs: 0,
					atMs: request.arrivedMs,
				});
			}

			account.waitingCount++;
			length++;
			waitingTokens += request.expectedTokens;
			return true;
		},
		remove(request) {
			const account = accounts.get(request.account);
			const line = account?.lines.get(request.requestClass);
			const index = line?.requests.indexOf(request) ?? -1;
			if (!account || !line || index === -1) {
				return false;
			}

			take(account, line, index);
			return true;
		},
		takeExpired(nowMs) {
			const expired: R[] = [];
			for (const account of accounts.values()) {
				for (const line of account.lines.values()) {
					for (let index = line.requests.length - 1; index >= 0; index--) {
						if (line.requests[index].deadlineMs <= nowMs) {
							expired.push(take(account, line, index));
						}
					}
				}
			}

			return expired;
		},
		serve(nowMs, standingOf, place) {
			const budget = {tries: maxTriesPerServe, nowMs};
			let placed = length > 0;
			while (placed) {
				const order = [...accounts.values()]
					.map((account) => ({account, standing: standingOf(account.name)}))
					.sort(
						(a, b) =>
							Number(b.standing.hasFloorPriority) -
								Number(a.standing.hasFloorPriority) ||
							virtualTimeOf(a.account.name) - virtualTimeOf(b.account.name),
					);
				placed = serveOnce(order, place, budget);
			}
		},
		charge,
	};
}
