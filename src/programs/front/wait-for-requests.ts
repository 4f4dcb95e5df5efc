import type {CallerListener} from '../../adapters/front/index.js';
import type {Clock, Timers} from '../../common/index.js';

/** What a stop waits with. */
export type DrainOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly listener: Pick<CallerListener, 'openCount'> & {
		readonly server: Pick<CallerListener['server'], 'closeIdleConnections'>;
	};
	/** Monotonic time at which the stop ends in any case, in milliseconds. */
	readonly deadlineMs: number;
	/** Gives what is still open then its final answer. */
	readonly giveUpAll: () => void;
};

/** The balancer needs two checks, one second apart, to notice that a VM is not ready. */
const minStopMs = 2500;
const stopCheckMs = 100;
/** Time in which the last answers leave this VM, in milliseconds. */
const lastAnswersMs = 50;

/**
 * Waits until every open request has its answer; new connections are served meanwhile. Once none is
 * open it resolves in the same turn, so that none is accepted before the connections are closed.
 */
export async function waitForRequests(options: DrainOptions): Promise<void> {
	const {clock, timers, listener, deadlineMs} = options;
	const startedMs = clock.nowMs();
	for (;;) {
		await timers.sleep(stopCheckMs);
		const nowMs = clock.nowMs();
		const mayEnd = nowMs - startedMs > minStopMs;
		if (mayEnd) {
			listener.server.closeIdleConnections();
		}

		if (mayEnd && listener.openCount === 0) {
			return;
		}

		if (nowMs > deadlineMs) {
			options.giveUpAll();
			await timers.sleep(lastAnswersMs);
			return;
		}
	}
}
