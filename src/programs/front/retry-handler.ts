import type {Clock, Timers} from '../../common/index.js';
import {
	createRetryClient,
	createRetryPool,
	type FleetMessage,
	type MemberList,
	type RetryClient,
	type RetryCredit,
	type RetryCreditsMessage,
	type RetryDecisionMessage,
	type RetryPoolOptions,
	type RetryRequestMessage,
} from '../../decisions/fleet/index.js';

export type RetryHandlerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	/** Address of this VM. */
	readonly address: string;
	readonly members: MemberList;
	readonly bounds: RetryPoolOptions['bounds'];
	readonly coordinatorSinceMs: RetryPoolOptions['coordinatorSinceMs'];
	/** Monotonic time at which this VM resumed after its last pause, in milliseconds; -Infinity before. */
	readonly resumedMs: () => number;
	/** Takes what this VM cedes out of its own share. */
	readonly takeUnusedRetries: () => readonly RetryCredit[];
	readonly send: (to: string, message: FleetMessage) => void;
};

/** Exchanges retries of the fleet's budget: requests to the coordinator's pool, and what VMs cede to it. */
export type RetryHandler = {
	readonly retryClient: RetryClient;
	handle(
		from: string,
		message: RetryCreditsMessage | RetryDecisionMessage | RetryRequestMessage,
	): void;
	/** Cedes what this VM does not use; called at regular intervals. */
	tick(): void;
};

/** Time after a pause in which credits are refused, since they may have waited at the socket, in milliseconds. */
const settleMs = 500;

export function createRetryHandler(options: RetryHandlerOptions): RetryHandler {
	const {clock, timers, address, members, send} = options;
	const pool = createRetryPool(options);
	const retryClient = createRetryClient({
		timers,
		ownAddress: address,
		members,
		pool,
		send,
	});
	/** Sequence numbers of the last credits by sender. */
	const receivedSequences = new Map<string, number>();
	let sequence = 0;

	const handleCredits = (from: string, message: RetryCreditsMessage) => {
		const isRepeated = receivedSequences.get(from) === message.sequence;
		receivedSequences.set(from, message.sequence);
		if (!isRepeated && clock.nowMs() - options.resumedMs() > settleMs) {
			pool.addCredits(message.credits);
		}
	};

	return {
		retryClient,
		handle(from, message) {
			switch (message.kind) {
				case 'retry': {
					const isGranted = pool.tryTake(message.service);
					send(from, {kind: 'retry-answer', id: message.id, isGranted});
					break;
				}

				case 'retry-answer': {
					retryClient.handleDecision(message.id, message.isGranted);
					break;
				}

				case 'retry-credits': {
					handleCredits(from, message);
					break;
				}
			}
		},
		tick() {
			const to = members.coordinator.address;
			if (members.vmCount === 1) {
				return;
			}

			const credits = options.takeUnusedRetries();
			if (to === address) {
				pool.addCredits(credits);
			} else if (credits.length > 0) {
				sequence++;
				send(to, {kind: 'retry-credits', sequence, credits});
			}
		},
	};
}
