import type {CallerListener} from '../../adapters/front/index.js';
import type {Clock, Timers} from '../../common/index.js';

export type WaitForRequestsOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly listener: Pick<
		CallerListener,
		'closeIdleConnections' | 'openRequestCount'
	>;
	/** Monotonic time at which the wait ends in any case, in milliseconds. */
	readonly deadlineMs: number;
	/** Called at the deadline; sends the final response to every admitted request without one. */
	readonly giveUpAll: () => void;
};

/**
 * Shortest duration of a stop, in milliseconds: the load balancer needs two checks, one second apart,
 * to notice that a VM is not ready.
 */
const minStopMs = 2500;
const stopCheckMs = 100;
/** Time for the last responses to be written to their connections, in milliseconds. */
const lastResponsesMs = 50;

/**
 * Waits until every open request has its response, or until the deadline; new connections are served
 * meanwhile. Resolves in the same turn in which it has counted no open request, so that none is
 * accepted before the connections are closed.
 */
export async function waitForRequests(
	options: WaitForRequestsOptions,
): Promise<void> {
	const {clock, timers, listener, deadlineMs} = options;
	const startedMs = clock.nowMs();
	for (;;) {
		await timers.sleep(stopCheckMs);
		const nowMs = clock.nowMs();
		const mayEnd = nowMs - startedMs > minStopMs;
		if (mayEnd) {
			listener.closeIdleConnections();
		}

		if (mayEnd && listener.openRequestCount === 0) {
			return;
		}

		if (nowMs > deadlineMs) {
			options.giveUpAll();
			await timers.sleep(lastResponsesMs);
			return;
		}
	}
}
