import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {
	AdmittedRequest,
	CallerResponse,
} from '../../decisions/serving/index.js';

/** What counts replies. */
export type MeteredReplyOptions = {
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Creates a reply that passes on to another, and counts how it ends. */
export function createMeteredReply(
	admitted: AdmittedRequest,
	reply: CallerResponse,
	{clock, metrics}: MeteredReplyOptions,
): CallerResponse {
	const labels = {
		account: admitted.account ?? 'anonymous',
		route: admitted.route.name,
	};
	const durationMs = () => Math.round(clock.nowMs() - admitted.arrivedMs);
	const count = (outcome: string) => {
		metrics.count('requests', {...labels, outcome});
	};

	return {
		get isHeadSent() {
			return reply.isHeadSent;
		},
		startStream(head) {
			metrics.histogram('first_event', labels).recordValue(durationMs());
			reply.startStream(head);
		},
		write(bytes) {
			reply.write(bytes);
		},
		end() {
			count('answered');
			metrics.histogram('duration', labels).recordValue(durationMs());
			reply.end();
		},
		sendResponse(head, body) {
			count(`status-${head.status}`);
			metrics.histogram('duration', labels).recordValue(durationMs());
			reply.sendResponse(head, body);
		},
		sendLocalResponse(status, message, headers) {
			count(`own-${status}`);
			reply.sendLocalResponse(status, message, headers);
		},
		abort() {
			count('aborted');
			reply.abort();
		},
	};
}
