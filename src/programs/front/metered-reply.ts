import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {
	AdmittedRequest,
	CallerReply,
} from '../../decisions/serving/index.js';

export type MeteredReplyOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/**
 * Wraps a reply to a caller: counts its outcome and, for responses of targets, measures the time to the
 * first event and to the end, by account and route.
 */
export function createMeteredReply(
	admitted: AdmittedRequest,
	reply: CallerReply,
	{clock, metrics}: MeteredReplyOptions,
): CallerReply {
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
			return reply.isHeadSent;
		},
		startStream(head) {
			metrics.histogram('first_event', labels).recordValue(sinceArrivalMs());
			reply.startStream(head);
		},
		write(bytes) {
			reply.write(bytes);
		},
		end() {
			count('answered');
			metrics.histogram('duration', labels).recordValue(sinceArrivalMs());
			reply.end();
		},
		sendResponse(head, body) {
			count(`status-${head.status}`);
			metrics.histogram('duration', labels).recordValue(sinceArrivalMs());
			reply.sendResponse(head, body);
		},
		sendLocalReply(status, message, headers) {
			count(`own-${status}`);
			reply.sendLocalReply(status, message, headers);
		},
		abort() {
			count('aborted');
			reply.abort();
		},
	};
}
