import type {RelayMetrics} from '../../decisions/streams/index.js';
import type {Metrics} from './metrics.js';

/** Class label of the classes beyond the limit. */
const otherClass = 'other';

/**
 * Creates the registry of the relay's metrics, which are kept by client account and request class.
 * @param maxClasses - number of classes of an account that have metrics of their own; the number is limited
 * since callers choose class names freely
 * @returns function that returns the metrics of an account and a class
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

		const classLabel =
			classes.has(requestClass) || classes.size < maxClasses
				? requestClass
				: otherClass;
		let classMetrics = classes.get(classLabel);
		if (!classMetrics) {
			classMetrics = createRelayMetrics(metrics, {
				account,
				class: classLabel,
			});
			classes.set(classLabel, classMetrics);
		}

		return classMetrics;
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
