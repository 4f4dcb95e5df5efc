import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {
	AdmittedRequest,
	CallerReply,
} from '../../decisions/serving/index.js';

/** What counts replies. */
export type ReplyCounters = {
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** Creates a reply that passes on to another, and counts how it ends. */
export function createCountedReply(
	admitted: AdmittedRequest,
	reply: CallerReply,
	{clock, metrics}: ReplyCounters,
): CallerReply {
	const labels = {
		account: admitted.account ?? 'anonymous',
		route: admitted.route.name,
	};
	const durationMs = () => Math.round(clock.nowMs() - admitted.arrivedMs);
	const count = (outcome: string) => {
		metrics.count('requests', {...labels, outcome});
	};

	return {
		get hasHead() {
			return reply.hasHead;
		},
		begin(head) {
			metrics.histogram('first_event', labels).recordValue(durationMs());
			reply.begin(head);
		},
		data(bytes) {
			reply.data(bytes);
		},
		end() {
			count('answered');
			metrics.histogram('duration', labels).recordValue(durationMs());
			reply.end();
		},
		whole(head, body) {
			count(`status-${head.status}`);
			metrics.histogram('duration', labels).recordValue(durationMs());
			reply.whole(head, body);
		},
		own(status, message, headers) {
			count(`own-${status}`);
			reply.own(status, message, headers);
		},
		abort() {
			count('aborted');
			reply.abort();
		},
	};
}
