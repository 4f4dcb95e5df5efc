import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import {
	type AdmittedRequest,
	type CallerResponse,
	localResponseStatus,
} from '../../decisions/serving/index.js';

export type MeteredResponseOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Counts a request that was refused without having run, by the reason that its caller is told. */
export function countRefusal(
	metrics: Metrics,
	status: number,
	reason: string,
): void {
	if (status === localResponseStatus.notRun) {
		metrics.count('refusals', {reason});
	}
}

/**
 * Wraps the response to a caller: counts its outcome and, for responses of targets, measures the time
 * to the first event and to the end, by account and route.
 */
export function createMeteredResponse(
	admitted: AdmittedRequest,
	response: CallerResponse,
	{clock, metrics}: MeteredResponseOptions,
): CallerResponse {
	const labels = {
		account: admitted.account ?? 'anonymous',
		route: admitted.route.name,
	};
	const sinceArrivalMs = () => Math.round(clock.nowMs() - admitted.arrivedMs);
	const count = (outcome: string) => {
		metrics.count('requests', {...labels, outcome});
	};

	return {
		get isHeadSent() {
			return response.isHeadSent;
		},
		startStream(head) {
			metrics.histogram('first_event', labels).recordValue(sinceArrivalMs());
			response.startStream(head);
		},
		write(bytes) {
			response.write(bytes);
		},
		get isCongested() {
			return response.isCongested;
		},
		onDrained: response.onDrained,
		end() {
			count('answered');
			metrics.histogram('duration', labels).recordValue(sinceArrivalMs());
			response.end();
		},
		sendResponse(head, body) {
			count(`status-${head.status}`);
			metrics.histogram('duration', labels).recordValue(sinceArrivalMs());
			response.sendResponse(head, body);
		},
		sendLocalResponse(status, message, headers) {
			count(`own-${status}`);
			countRefusal(metrics, status, message);
			response.sendLocalResponse(status, message, headers);
		},
		abort() {
			count('aborted');
			response.abort();
		},
	};
}
