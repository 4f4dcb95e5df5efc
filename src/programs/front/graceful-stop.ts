import type {CallerListener} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import type {Clock, Timers} from '../../common/index.js';
import type {StopTimes} from '../../decisions/serving/index.js';
import {waitForRequests} from './wait-for-requests.js';

export type GracefulStopOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly graceMs: () => number;
	readonly logger: Logger;
};

/** What a stop waits for, and what it does in the end. */
export type StopSteps = {
	readonly listener: CallerListener;
	/** Sends the final response to every admitted request without one. */
	readonly giveUpAll: () => void;
	/** Releases everything that the daemon owns. */
	readonly close: () => Promise<void>;
};

/** The stop of a daemon: its requests are served or refused within the grace time, then the daemon closes. */
export type GracefulStop = {
	/** Undefined unless the daemon is stopping. */
	readonly times: StopTimes | undefined;
	/** Stops the daemon; only the first call has an effect. */
	run(steps: StopSteps): Promise<void>;
};

/** Time at the end of the grace time that is reserved for the exit of the process, in milliseconds. */
const stopMarginMs = 400;

export function createGracefulStop({
	clock,
	timers,
	graceMs,
	logger,
}: GracefulStopOptions): GracefulStop {
	let startedMs = 0;
	let deadlineMs: number | undefined;
	let stopped: Promise<void> | undefined;

	const stop = async ({listener, giveUpAll, close}: StopSteps) => {
		startedMs = clock.nowMs();
		deadlineMs = startedMs + graceMs() - stopMarginMs;
		logger.info('stopping', {openRequests: listener.openRequestCount});
		await waitForRequests({
			clock,
			timers,
			listener,
			deadlineMs,
			giveUpAll() {
				logger.warn('stop cuts requests', {
					openRequests: listener.openRequestCount,
				});
				giveUpAll();
			},
		});
		logger.info('stopped', {openRequests: listener.openRequestCount});
		await close();
	};

	return {
		get times() {
			return deadlineMs === undefined
				? undefined
				: {
						sinceSignalMs: clock.nowMs() - startedMs,
						leftMs: deadlineMs - clock.nowMs(),
					};
		},
		async run(steps) {
			if (stopped) {
				logger.info('stop requested again', {
					openRequests: steps.listener.openRequestCount,
				});
			}

			stopped ??= stop(steps);
			return stopped;
		},
	};
}
