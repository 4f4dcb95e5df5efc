import {build, type Histogram} from 'hdr-histogram-js';

const highestMs = 3_600_000;
const quantiles = [50, 95, 99, 99.9];

/** Counters and histograms of one process, kept for each client account and class. */
export type Metrics = {
	/** Adds to a counter. */
	count(
		name: string,
		labels?: Readonly<Record<string, string>>,
		by?: number,
	): void;
	/**
	 * Histogram of durations in milliseconds for a set of labels. Callers on hot paths keep the
	 * returned object.
	 */
	histogram(name: string, labels: Readonly<Record<string, string>>): Histogram;
	/** All figures in the Prometheus text format. */
	text(): string;
};

function labelText(labels: Readonly<Record<string, string>>): string {
	const parts = Object.entries(labels).map(
		([name, value]) => `${name}=${JSON.stringify(value)}`,
	);
	return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

/** Creates an empty set of metrics. */
export function createMetrics(): Metrics {
	const counters = new Map<string, number>();
	const histograms = new Map<
		string,
		{
			readonly name: string;
			readonly labels: Readonly<Record<string, string>>;
			readonly histogram: Histogram;
		}
	>();

	return {
		count(name, labels = {}, by = 1) {
			const key = `cowslip_${name}_total${labelText(labels)}`;
			counters.set(key, (counters.get(key) ?? 0) + by);
		},
		histogram(name, labels) {
			const key = name + labelText(labels);
			let entry = histograms.get(key);
			if (!entry) {
				const histogram = build({
					bitBucketSize: 32,
					autoResize: true,
					lowestDiscernibleValue: 1,
					highestTrackableValue: highestMs,
					numberOfSignificantValueDigits: 2,
				});
				entry = {name, labels, histogram};
				histograms.set(key, entry);
			}

			return entry.histogram;
		},
		text() {
			const lines = [...counters].map(([key, value]) => `${key} ${value}`);
			for (const {name, labels, histogram} of histograms.values()) {
				for (const quantile of quantiles) {
					const all = {...labels, quantile: String(quantile / 100)};
					const value = histogram.getValueAtPercentile(quantile);
					lines.push(`cowslip_${name}_ms${labelText(all)} ${value}`);
				}

				lines.push(
					`cowslip_${name}_ms_count${labelText(labels)} ${histogram.totalCount}`,
				);
			}

			return lines.join('\n') + '\n';
		},
	};
}
