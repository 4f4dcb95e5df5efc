import type {Disposable} from '../../common/index.js';
import type {ContinuationRetries} from './continuation-retries.js';
import {continuationPlacement, type RunCopy} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamCopies} from './stream-copies.js';
import type {
	StreamPlacement,
	StreamSessionOptions,
} from './stream-session-types.js';

/** Continues the run of one stream from copies of its KV cache. */
export type RunContinuation = Disposable & {
	/** Number of times that the run was sent to an engine with a copy. */
	readonly count: number;
	/**
	 * Continues a lost run from the next copy of its KV cache.
	 * @param orElse - called if no copy, too little time, no retry budget or no turn at an engine is left, or
	 *   engines end under requests like this one
	 * @param isGranted - true if the retry budget has already been charged
	 */
	start(reason: string, orElse: () => void, isGranted?: boolean): void;
};

export type RunContinuationOptions = {
	readonly admitted: AdmittedRequest;
	readonly session: StreamSessionOptions;
	readonly copies: StreamCopies;
	readonly retries: ContinuationRetries;
	/** Sends the request to the engine of the placement, to continue there from the copy. */
	readonly dispatch: (
		placement: StreamPlacement,
		continueFrom: RunCopy,
		reason: string,
	) => void;
};

/** Time left below which a run is not continued, in milliseconds. */
const minSendMs = 50;

/** Creates the continuation of a run that has not been lost. */
export function createRunContinuation(
	options: RunContinuationOptions,
): RunContinuation {
	const {admitted, copies, retries} = options;
	const {clock, log, requestContinuationTurn, heldReason} = options.session;
	const {request} = admitted;
	let count = 0;
	let pendingTurn: Disposable | undefined;
	let isDisposed = false;

	/** @returns true if engines end under requests like this one, which the log then says */
	const isHeld = (): boolean => {
		const held = heldReason(request);
		if (held !== undefined) {
			log('continuation denied', {request: request.id, reason: held});
		}

		return held !== undefined;
	};

	const send = (copy: RunCopy, reason: string) => {
		count++;
		options.dispatch(
			continuationPlacement(copy.target, `${request.id}.m${count}`),
			copy,
			reason,
		);
	};

	/** Sends the request when its turn comes at the engine; without a turn in time, the next copy is tried. */
	const sendInTurn = (copy: RunCopy, reason: string, orElse: () => void) => {
		let isDecided = false;
		const turn = requestContinuationTurn(copy.target, (denial) => {
			isDecided = true;
			pendingTurn = undefined;
			if (denial === undefined) {
				if (isHeld()) {
					orElse();
				} else {
					send(copy, reason);
				}

				return;
			}

			log('continuation denied', {
				request: request.id,
				target: copy.target.id,
				reason: denial,
			});
			start(reason, orElse, true);
		});
		if (!isDecided) {
			pendingTurn = turn;
		}
	};

	const start = (reason: string, orElse: () => void, isGranted = false) => {
		if (isDisposed) {
			return;
		}

		const copy = copies.nextCopy();
		const leftMs = admitted.deadlineMs - clock.nowMs();
		if (!copy || leftMs < minSendMs || isHeld()) {
			orElse();
			return;
		}

		if (isGranted) {
			sendInTurn(copy, reason, orElse);
			return;
		}

		retries.request((isGrantedNow) => {
			if (isGrantedNow) {
				sendInTurn(copy, reason, orElse);
			} else {
				orElse();
			}
		});
	};

	return {
		get count() {
			return count;
		},
		start,
		dispose() {
			isDisposed = true;
			pendingTurn?.dispose();
		},
	};
}
