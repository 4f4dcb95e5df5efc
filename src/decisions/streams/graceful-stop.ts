import type {InvariantMonitor, Timers} from '../../common/index.js';
import type {PendingCancellations} from './pending-cancellations.js';

/** Graceful stop of a daemon. It has no time limit. */
export type GracefulStop = {
	readonly isStopping: boolean;
	/**
	 * Starts to wait until every open exchange has its whole response.
	 * @returns false if the stop has already begun; the call then has no effect
	 */
	begin(): boolean;
};

export type GracefulStopOptions = {
	readonly timers: Timers;
	readonly invariants: InvariantMonitor;
	readonly cancellations: PendingCancellations;
	/** Time for which new connections are still accepted, in milliseconds. */
	readonly graceMs: number;
	/** Number of requests whose callers do not have the whole response yet. */
	readonly openExchanges: () => number;
	/** Called once no exchange is open; closes the remaining resources. */
	readonly onDrained: () => void;
};

// Interval at which open exchanges are counted.
const checkMs = 50;

export function createGracefulStop(options: GracefulStopOptions): GracefulStop {
	const {timers, invariants, openExchanges} = options;
	let isStopping = false;

	const check = () => {
		if (openExchanges() > 0) {
			timers.after(checkMs, check);
			return;
		}

		invariants.check(
			'graceful-stop',
			openExchanges() === 0,
			() => `stopped with ${openExchanges()} open exchanges`,
		);
		// Callers that disconnected may resume through another entry VM, so their generations continue.
		options.cancellations.discardAll();
		options.onDrained();
	};

	return {
		get isStopping() {
			return isStopping;
		},
		begin() {
			if (isStopping) {
				return false;
			}

			isStopping = true;
			timers.after(options.graceMs, check);
			return true;
		},
	};
}
