import type {RelayMetrics} from '../../decisions/streams/index.js';
import type {Metrics} from './metrics.js';

const otherClass = 'other';

/**
 * Keeps the relay's figures for each client account and class.
 * @param maxClasses - classes of one account that are told apart; callers choose class names freely
 */
export function createRelayMetricsRegistry(
	metrics: Metrics,
	maxClasses: number,
): (account: string, requestClass: string) => RelayMetrics {
	const byAccount = new Map<string, Map<string, RelayMetrics>>();
	return (account, requestClass) => {
		let classes = byAccount.get(account);
		if (!classes) {
			classes = new Map();
			byAccount.set(account, classes);
		}

		const name =
			classes.has(requestClass) || classes.size < maxClasses
				? requestClass
				: otherClass;
		let found = classes.get(name);
		if (!found) {
			found = createRelayMetrics(metrics, {account, class: name});
			classes.set(name, found);
		}

		return found;
	};
}

function createRelayMetrics(
	metrics: Metrics,
	labels: Readonly<Record<string, string>>,
): RelayMetrics {
	const firstToken = metrics.histogram('first_token', labels);
	const tokenGap = metrics.histogram('inter_token', labels);
	const stall = metrics.histogram('stall', labels);
	const duration = metrics.histogram('duration', labels);
	return {
		firstToken(durationMs) {
			firstToken.recordValue(durationMs);
		},
		interTokenTime(durationMs) {
			tokenGap.recordValue(durationMs);
		},
		finished(durationMs, stallMs) {
			duration.recordValue(durationMs);
			stall.recordValue(stallMs);
			metrics.count('answers', labels);
		},
		reopened(cause) {
			metrics.count('reopens', {...labels, cause});
		},
		restarted() {
			metrics.count('restarts', labels);
		},
		failed(type) {
			metrics.count('refusals', {...labels, type});
		},
	};
}
