import {build, type Histogram} from 'hdr-histogram-js';

/** Highest value of a histogram at first, in milliseconds; it grows when needed. */
const initialHighestMs = 3_600_000;
const percentiles = [50, 95, 99, 99.9];

/** Counters and histograms of a process, kept separately for each set of labels. */
export type Metrics = {
	/** Adds to the counter `cowslip_<name>_total`. */
	count(
		name: string,
		labels?: Readonly<Record<string, string>>,
		by?: number,
	): void;
	/**
	 * Returns the histogram `cowslip_<name>_ms` for a set of labels; it is created on first use. The look-up
	 * builds a string from the labels, so frequent callers keep the returned object.
	 */
	histogram(name: string, labels: Readonly<Record<string, string>>): Histogram;
	/** Formats all metrics in the Prometheus text format. */
	text(): string;
};

function labelText(labels: Readonly<Record<string, string>>): string {
	const parts = Object.entries(labels).map(
		([name, value]) => `${name}=${JSON.stringify(value)}`,
	);
	return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

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
					highestTrackableValue: initialHighestMs,
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
				for (const percentile of percentiles) {
					const allLabels = {...labels, quantile: String(percentile / 100)};
					const value = histogram.getValueAtPercentile(percentile);
					lines.push(`cowslip_${name}_ms${labelText(allLabels)} ${value}`);
				}

				lines.push(
					`cowslip_${name}_ms_count${labelText(labels)} ${histogram.totalCount}`,
				);
			}

			return lines.join('\n') + '\n';
		},
	};
}
