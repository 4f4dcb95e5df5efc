import type {InvariantMonitor, Timers} from '../../common/index.js';
import type {PendingCancellations} from './pending-cancellations.js';

/** Planned stop of a daemon: it has no time limit, and asking for it again changes nothing. */
export type GracefulStop = {
	readonly isStopping: boolean;
	/**
	 * Waits until every open exchange has its whole answer.
	 * @returns false if the stop was under way already
	 */
	begin(): boolean;
};

/** What a stop needs. */
export type GracefulStopOptions = {
	readonly timers: Timers;
	readonly invariants: InvariantMonitor;
	readonly cancellations: PendingCancellations;
	/** Time for which connections are still taken, in milliseconds. */
	readonly graceMs: number;
	/** Requests of callers that have no whole answer yet. */
	readonly openExchanges: () => number;
	/** Called once nothing is open; closes what is left. */
	readonly onDrained: () => void;
};

const checkMs = 50;

/** Creates a stop that has not begun. */
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
		// Callers that left may come back through another entry VM, so their generations go on.
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
