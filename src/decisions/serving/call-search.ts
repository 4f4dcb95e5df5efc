import {
	createDisposableStore,
	type Disposable,
	type TargetEntry,
} from '../../common/index.js';
import type {CallSessionOptions} from './call-session-types.js';
import type {TargetPermit} from './call-target-search.js';
import type {AdmittedRequest} from './session-types.js';

/** Receives the outcome of a search; at most one method is called for each search. */
export type CallSearchListener = {
	/** Asked when a target was found; false if the request must not be sent again. */
	maySend(): boolean;
	/** True if the next send counts against the retry budget. */
	isRetry(): boolean;
	onFound(
		target: TargetEntry,
		permit: TargetPermit | undefined,
		sendReason: string,
	): void;
	/** Called when the call may not be sent again, or neither this VM nor the fleet has a retry left. */
	onNotAllowed(sendReason: string): void;
	/** @param retryAfterMs - time after which the caller may try again, in milliseconds, if it is known */
	onNone(searchReason: string, sendReason: string, retryAfterMs?: number): void;
};

/** Search of one call for its next target, with a retry from the budget where one is needed. */
export type CallSearch = Disposable & {
	/** True from the start of a search to its outcome. */
	readonly isActive: boolean;
	/**
	 * Starts a search; the listener may be called before this returns.
	 * @param sendReason - why the call is sent, for the log
	 * @param maxWaitMs - longest time that the call may wait for its turn at a target, in milliseconds
	 */
	start(sendReason: string, maxWaitMs: number): void;
};

/**
 * Creates a search that has not started.
 * @param tried - ids of the targets that have received the call
 */
export function createCallSearch(
	{request, route, service, allowedRegions}: AdmittedRequest,
	options: Pick<CallSessionOptions, 'findTarget' | 'log' | 'retryShare'>,
	tried: ReadonlySet<string>,
	listener: CallSearchListener,
): CallSearch {
	/** Searches for targets and requests to the pool; what has its outcome is not affected by disposal. */
	const owned = createDisposableStore();
	let isActive = false;
	let isDisposed = false;

	/** Ends the search unless it was disposed. */
	const finish = (report: () => void) => {
		if (!isDisposed) {
			isActive = false;
			report();
		}
	};

	const find = (
		sendReason: string,
		maxWaitMs: number,
		onFound: (target: TargetEntry, permit: TargetPermit | undefined) => void,
	) => {
		const search = options.findTarget(
			{
				service,
				allowedRegions,
				avoid: tried,
				isIdempotent: route.kind === 'idempotent',
				maxWaitMs,
			},
			{
				onFound,
				onNone(searchReason, retryAfterMs) {
					finish(() => {
						listener.onNone(searchReason, sendReason, retryAfterMs);
					});
				},
				onPermitDenied(targets, waitMs, decidedBy) {
					options.log('permit denied', {
						request: request.id,
						target: targets.map(({targetId}) => targetId).join(' '),
						limitPerSecond: targets[0].requestsPerSecond,
						turnWaitMs: Math.round(waitMs),
						permitBy: decidedBy,
					});
				},
			},
		);
		owned.add(search);
	};

	const notAllowed = (sendReason: string) => {
		finish(() => {
			listener.onNotAllowed(sendReason);
		});
	};

	const sendTo = (
		target: TargetEntry,
		permit: TargetPermit | undefined,
		sendReason: string,
	) => {
		finish(() => {
			if (listener.maySend()) {
				listener.onFound(target, permit, sendReason);
			} else {
				listener.onNotAllowed(sendReason);
			}
		});
	};

	/**
	 * Takes a retry for a send to a target. If the fleet's pool has to be asked, the target is chosen again
	 * afterwards, since the one found may have failed and its turn may have passed.
	 */
	const takeRetry = (
		target: TargetEntry,
		permit: TargetPermit | undefined,
		sendReason: string,
		maxWaitMs: number,
	) => {
		let isImmediate = true;
		const poolRequest = options.retryShare.take(service, (isGranted) => {
			// The send before may have failed unsent meanwhile; then no retry is needed.
			const isAllowed = isGranted || !listener.isRetry();
			if (!isAllowed) {
				notAllowed(sendReason);
			} else if (isImmediate) {
				sendTo(target, permit, sendReason);
			} else if (!isDisposed) {
				find(sendReason, maxWaitMs, (newTarget, newPermit) => {
					sendTo(newTarget, newPermit, sendReason);
				});
			}
		});
		isImmediate = false;
		if (poolRequest) {
			owned.add(poolRequest);
		}
	};

	return {
		get isActive() {
			return isActive;
		},
		start(sendReason, maxWaitMs) {
			isActive = true;
			find(sendReason, maxWaitMs, (target, permit) => {
				if (isDisposed) {
					return;
				}

				if (!listener.maySend()) {
					notAllowed(sendReason);
				} else if (listener.isRetry()) {
					takeRetry(target, permit, sendReason, maxWaitMs);
				} else {
					sendTo(target, permit, sendReason);
				}
			});
		},
		dispose() {
			isDisposed = true;
			isActive = false;
			owned.dispose();
		},
	};
}
