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
export type QueueStanding = {
	/** True while the account gets less than its floor. */
	readonly entitled: boolean;
	readonly shareWeight: number;
};

/** Bounded queue that is fair by tokens across client accounts and serves floors first. */
export type AdmissionQueue<R extends WaitingRequest> = {
	readonly length: number;
	readonly waitingTokens: number;
	/**
	 * Time until a new request would be placed, in milliseconds, or undefined while nothing is known.
	 * @param standing - of the request's account
	 */
	expectedWaitMs(
		account: string,
		standing: QueueStanding,
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
		standingOf: (account: string) => QueueStanding,
		place: (request: R, standing: QueueStanding) => boolean,
	): void;
	/** Counts tokens that an account was given without waiting, or corrects an estimate. */
	charge(account: string, tokens: number, shareWeight: number): void;
};

type Account<R> = {
	readonly name: string;
	/** One line for each class, so that long requests do not block short ones. */
	readonly lines: Map<string, R[]>;
	waitingCount: number;
	waitingTokens: number;
};

const rateHalfLifeMs = 10_000;
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
	let servedTokens = 0;
	let servedMs = 0;
	let rateAtMs = 0;

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

	const passTime = (nowMs: number) => {
		const passedMs = Math.max(0, nowMs - rateAtMs);
		const decay = 0.5 ** (passedMs / rateHalfLifeMs);
		servedTokens *= decay;
		// Only time in which requests waited tells how fast the queue moves.
		servedMs = servedMs * decay + (length > 0 ? passedMs : 0);
		rateAtMs = nowMs;
	};

	const take = (account: Account<R>, line: R[], index: number) => {
		const [request] = line.splice(index, 1);
		account.waitingCount--;
		account.waitingTokens -= request.expectedTokens;
		length--;
		waitingTokens -= request.expectedTokens;
		if (line.length === 0) {
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

	const headsOf = (account: Account<R>) =>
		[...account.lines.values()]
			.map((line) => line[0])
			.sort((a, b) => urgency(a, rateAtMs) - urgency(b, rateAtMs));

	const serveOnce = (
		order: ReadonlyArray<{account: Account<R>; standing: QueueStanding}>,
		place: (request: R, standing: QueueStanding) => boolean,
		budget: {tries: number},
	): boolean => {
		for (const {account, standing} of order) {
			for (const head of headsOf(account)) {
				if (budget.tries-- <= 0) {
					return false;
				}

				if (place(head, standing)) {
					take(account, account.lines.get(head.requestClass)!, 0);
					servedTokens += head.expectedTokens;
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
		expectedWaitMs(account, standing, nowMs) {
			passTime(nowMs);
			if (length === 0) {
				return 0;
			}

			if (servedMs < 1000 || servedTokens === 0) {
				return undefined;
			}

			const own = accounts.get(account)?.waitingTokens ?? 0;
			let ahead = own;
			if (!standing.entitled) {
				for (const other of accounts.values()) {
					if (other.name !== account) {
						// Fair order lets each account go first with what it is behind.
						const behind = virtualTimeOf(account) - virtualTimeOf(other.name);
						ahead += Math.min(other.waitingTokens, own + Math.max(0, behind));
					}
				}
			}

			return (ahead * servedMs) / servedTokens;
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
					waitingTokens: 0,
				};
				accounts.set(request.account, account);
			}

			const line = account.lines.get(request.requestClass);
			if (line) {
				line.push(request);
			} else {
				account.lines.set(request.requestClass, [request]);
			}

			passTime(Math.max(rateAtMs, request.arrivedMs));
			account.waitingCount++;
			account.waitingTokens += request.expectedTokens;
			length++;
			waitingTokens += request.expectedTokens;
			return true;
		},
		remove(request) {
			const account = accounts.get(request.account);
			const line = account?.lines.get(request.requestClass);
			const index = line?.indexOf(request) ?? -1;
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
					for (let index = line.length - 1; index >= 0; index--) {
						if (line[index].deadlineMs <= nowMs) {
							expired.push(take(account, line, index));
						}
					}
				}
			}

			return expired;
		},
		serve(nowMs, standingOf, place) {
			passTime(nowMs);
			const budget = {tries: maxTriesPerServe};
			let placed = length > 0;
			while (placed) {
				const order = [...accounts.values()]
					.map((account) => ({account, standing: standingOf(account.name)}))
					.sort(
						(a, b) =>
							Number(b.standing.entitled) - Number(a.standing.entitled) ||
							virtualTimeOf(a.account.name) - virtualTimeOf(b.account.name),
					);
				placed = serveOnce(order, place, budget);
			}
		},
		charge,
	};
}
