import {
	type Clock,
	type Disposable,
	ProblemError,
	type Timers,
} from '../../common/index.js';

/** Timers of one session. Writing a token sets no timer. */
export type RelayTimers = Disposable & {
	start(): void;
	/** Something was written to the caller. */
	recordWrite(): void;
};

/** What the timers need. */
export type RelayTimersOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly keepAliveMs: number;
	/** Monotonic time of the deadline in milliseconds, if there is one. */
	readonly deadlineMs: number | undefined;
	readonly onKeepAlive: () => void;
	/** @param problem - for the caller */
	readonly onDeadline: (problem: ProblemError) => void;
};

/** Creates timers that are not running. */
export function createRelayTimers(options: RelayTimersOptions): RelayTimers {
	const {clock, timers, keepAliveMs, deadlineMs} = options;
	let wroteSinceCheck = false;
	let keepAlive: Disposable | undefined;
	let deadline: Disposable | undefined;

	const watch = () => {
		keepAlive = timers.after(keepAliveMs, () => {
			if (!wroteSinceCheck) {
				options.onKeepAlive();
			}

			wroteSinceCheck = false;
			watch();
		});
	};

	return {
		start() {
			watch();
			if (deadlineMs !== undefined) {
				deadline = timers.after(Math.max(0, deadlineMs - clock.nowMs()), () => {
					options.onDeadline(
						new ProblemError('deadline-exceeded', 'the deadline has passed', {
							field: 'X-Request-Timeout-Ms',
						}),
					);
				});
			}
		},
		recordWrite() {
			wroteSinceCheck = true;
		},
		dispose() {
			keepAlive?.dispose();
			deadline?.dispose();
		},
	};
}
