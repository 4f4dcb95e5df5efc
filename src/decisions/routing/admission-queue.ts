/** A request that waits to be placed on an engine. */
export type WaitingRequest = {
	readonly account: string;
	readonly requestClass: string;
	/** Expected output of the request, in tokens. */
	readonly expectedTokens: number;
	/** Monotonic time of arrival, in milliseconds. */
	readonly arrivedMs: number;
	/** Monotonic time at which the request expires, in milliseconds. */
	readonly deadlineMs: number;
};

/** Current priority of a client account in the queue. */
export type AccountPriority = {
	/** True if the account is served first; see `FloorPolicy.hasFloorPriority`. */
	readonly hasFloorPriority: boolean;
	/** Weight of the account in weighted fair queueing. */
	readonly shareWeight: number;
};

/**
 * Bounded queue that serves accounts with floor priority first and shares tokens between client accounts
 * by weighted fair queueing.
 */
export type AdmissionQueue<R extends WaitingRequest> = {
	readonly length: number;
	readonly waitingTokens: number;
	/**
	 * Estimates the time until a new request of an account and class would be placed, from the number of
	 * requests ahead and the recent rate at which they were served.
	 * @returns the time in milliseconds, or undefined without enough observations
	 */
	expectedWaitMs(
		account: string,
		requestClass: string,
		nowMs: number,
	): number | undefined;
	/** @returns false if the queue is full */
	add(request: R): boolean;
	remove(request: R): boolean;
	/** Removes and returns the requests whose deadline has passed. */
	takeExpired(nowMs: number): R[];
	/**
	 * Places waiting requests in fair order until none can be placed.
	 * @param priorityOf - called for each waiting account before every placement
	 * @param place - tries to place a request and returns whether it succeeded
	 */
	serve(
		nowMs: number,
		priorityOf: (account: string) => AccountPriority,
		place: (request: R, priority: AccountPriority) => boolean,
	): void;
	/**
	 * Charges an account for tokens that it received without waiting in the queue, or corrects an earlier
	 * estimate; `tokens` may be negative.
	 */
	charge(account: string, tokens: number, shareWeight: number): void;
};

type ClassQueue<R> = {
	readonly requests: R[];
	/** Requests served and time elapsed, decayed exponentially. */
	servedCount: number;
	elapsedMs: number;
	updatedMs: number;
};

type Account<R> = {
	readonly name: string;
	/** One queue per request class, so that long requests do not block short ones. */
	readonly classQueues: Map<string, ClassQueue<R>>;
	waitingCount: number;
};

// Half-life of the observed service rate.
const rateHalfLifeMs = 10_000;
// Shortest observed time from which a service rate is estimated.
const minElapsedMs = 1000;
const maxTriesPerServe = 64;
const maxVirtualTimes = 10_000;

/**
 * Creates an empty queue.
 * @param maxLength - largest number of waiting requests
 */
export function createAdmissionQueue<R extends WaitingRequest>(
	maxLength: number,
): AdmissionQueue<R> {
	const accounts = new Map<string, Account<R>>();
	// Virtual times of weighted fair queueing: tokens received divided by weight. The account with the
	// smallest one is served next.
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
		if (virtualTimes.size > maxVirtualTimes) {
			const [oldest] = virtualTimes.keys();
			virtualTimes.delete(oldest);
		}
	};

	const decayRate = (classQueue: ClassQueue<R>, nowMs: number) => {
		const elapsedMs = Math.max(0, nowMs - classQueue.updatedMs);
		const decay = 0.5 ** (elapsedMs / rateHalfLifeMs);
		classQueue.servedCount *= decay;
		classQueue.elapsedMs = classQueue.elapsedMs * decay + elapsedMs;
		classQueue.updatedMs = nowMs;
	};

	const take = (
		account: Account<R>,
		classQueue: ClassQueue<R>,
		index: number,
	) => {
		const [request] = classQueue.requests.splice(index, 1);
		account.waitingCount--;
		length--;
		waitingTokens -= request.expectedTokens;
		if (classQueue.requests.length === 0) {
			account.classQueues.delete(request.requestClass);
		}

		if (account.waitingCount === 0) {
			accounts.delete(account.name);
		}

		return request;
	};

	/**
	 * Sort key: the expected tokens, reduced in proportion to the time waited. Smaller values are served
	 * first, so short requests precede long ones without starving them.
	 */
	const orderingKey = (request: R, nowMs: number) => {
		const limitMs = Math.max(1, request.deadlineMs - request.arrivedMs);
		const leftPart = (request.deadlineMs - nowMs) / limitMs;
		return request.expectedTokens * Math.max(0, leftPart);
	};

	const headsOf = (account: Account<R>, nowMs: number) =>
		[...account.classQueues.values()]
			.map((classQueue) => classQueue.requests[0])
			.sort((a, b) => orderingKey(a, nowMs) - orderingKey(b, nowMs));

	const serveOnce = (
		order: ReadonlyArray<{account: Account<R>; priority: AccountPriority}>,
		place: (request: R, priority: AccountPriority) => boolean,
		budget: {tries: number; readonly nowMs: number},
	): boolean => {
		for (const {account, priority} of order) {
			for (const head of headsOf(account, budget.nowMs)) {
				if (budget.tries-- <= 0) {
					return false;
				}

				if (place(head, priority)) {
					const classQueue = account.classQueues.get(head.requestClass)!;
					decayRate(classQueue, budget.nowMs);
					classQueue.servedCount++;
					take(account, classQueue, 0);
					virtualNow = Math.max(
						virtualNow,
						Math.min(
							...[...accounts.keys(), account.name].map((name) =>
								virtualTimeOf(name),
							),
						),
					);
					charge(account.name, head.expectedTokens, priority.shareWeight);
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
			const classQueue = accounts.get(account)?.classQueues.get(requestClass);
			if (!classQueue) {
				return 0;
			}

			decayRate(classQueue, nowMs);
			if (classQueue.elapsedMs < minElapsedMs) {
				return undefined;
			}

			// The rate is taken one standard deviation above the observed one: a request that is refused too
			// early is lost, while one that waits in vain is only refused later.
			const served =
				classQueue.servedCount + 1 + Math.sqrt(classQueue.servedCount);
			return (classQueue.requests.length * classQueue.elapsedMs) / served;
		},
		add(request) {
			if (length >= maxLength) {
				return false;
			}

			let account = accounts.get(request.account);
			if (!account) {
				account = {
					name: request.account,
					classQueues: new Map(),
					waitingCount: 0,
				};
				accounts.set(request.account, account);
			}

			const classQueue = account.classQueues.get(request.requestClass);
			if (classQueue) {
				classQueue.requests.push(request);
			} else {
				account.classQueues.set(request.requestClass, {
					requests: [request],
					servedCount: 0,
					elapsedMs: 0,
					updatedMs: request.arrivedMs,
				});
			}

			account.waitingCount++;
			length++;
			waitingTokens += request.expectedTokens;
			return true;
		},
		remove(request) {
			const account = accounts.get(request.account);
			const classQueue = account?.classQueues.get(request.requestClass);
			const index = classQueue?.requests.indexOf(request) ?? -1;
			if (!account || !classQueue || index === -1) {
				return false;
			}

			take(account, classQueue, index);
			return true;
		},
		takeExpired(nowMs) {
			const expired: R[] = [];
			for (const account of accounts.values()) {
				for (const classQueue of account.classQueues.values()) {
					for (
						let index = classQueue.requests.length - 1;
						index >= 0;
						index--
					) {
						if (classQueue.requests[index].deadlineMs <= nowMs) {
							expired.push(take(account, classQueue, index));
						}
					}
				}
			}

			return expired;
		},
		serve(nowMs, priorityOf, place) {
			const budget = {tries: maxTriesPerServe, nowMs};
			let placed = length > 0;
			while (placed) {
				const order = [...accounts.values()]
					.map((account) => ({account, priority: priorityOf(account.name)}))
					.sort(
						(a, b) =>
							Number(b.priority.hasFloorPriority) -
								Number(a.priority.hasFloorPriority) ||
							virtualTimeOf(a.account.name) - virtualTimeOf(b.account.name),
					);
				placed = serveOnce(order, place, budget);
			}
		},
		charge,
	};
}
