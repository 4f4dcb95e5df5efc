import {
	type Clock,
	type Disposable,
	ProblemError,
	type Timers,
} from '../../common/index.js';

/** Keep-alive and deadline timers of one session. Writing a token sets no timer, which keeps it cheap. */
export type RelayTimers = Disposable & {
	start(): void;
	/** Records a write to the caller; a keep-alive is due only after an interval without writes. */
	recordWrite(): void;
};

export type RelayTimersOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly keepAliveMs: number;
	/** Monotonic time of the deadline in milliseconds, if there is one. */
	readonly deadlineMs: number | undefined;
	readonly onKeepAlive: () => void;
	/** Called with the error for the caller. */
	readonly onDeadline: (problem: ProblemError) => void;
};

export function createRelayTimers(options: RelayTimersOptions): RelayTimers {
	const {clock, timers, keepAliveMs, deadlineMs} = options;
	let wroteSinceCheck = false;
	let keepAlive: Disposable | undefined;
	let deadline: Disposable | undefined;

	const scheduleKeepAlive = () => {
		keepAlive = timers.after(keepAliveMs, () => {
			if (!wroteSinceCheck) {
				options.onKeepAlive();
			}

			wroteSinceCheck = false;
			scheduleKeepAlive();
		});
	};

	return {
		start() {
			scheduleKeepAlive();
			if (deadlineMs !== undefined) {
				deadline = timers.after(Math.max(0, deadlineMs - clock.nowMs()), () => {
					options.onDeadline(
						new ProblemError(
							'deadline-exceeded',
							'the response was not complete at the deadline of the request',
							{
								field: 'X-Request-Timeout-Ms',
							},
						),
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
