/** One bounded record of something that the system did on its own. */
export type ExplainRecord = {
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly atWallMs: number;
	/** What happened, for example `order` or `retry`. */
	readonly kind: string;
	/** Request, target or model that it happened to. */
	readonly subject: string;
	/** Why it happened, free of secrets. */
	readonly cause: string;
	/** What came of it, free of secrets. */
	readonly result: string;
};

/** Bounds of a log. */
export type ExplainLogOptions = {
	/** Number of records kept; the oldest are dropped first. */
	readonly maxRecords: number;
};

/** Keeps the latest records for the operator's explain command. */
export type ExplainLog = {
	readonly size: number;
	add(record: ExplainRecord): void;
	/** Records of one subject, the oldest first. */
	bySubject(subject: string): readonly ExplainRecord[];
	/**
	 * Records of one calendar minute, the oldest first.
	 * @param minute - minutes since the Unix epoch
	 */
	byMinute(minute: number): readonly ExplainRecord[];
};

const maxTextLength = 200;
const minuteMs = 60_000;

/** Creates an empty log. */
export function createExplainLog(options: ExplainLogOptions): ExplainLog {
	const records: ExplainRecord[] = [];
	let oldest = 0;

	const ordered = () => [...records.slice(oldest), ...records.slice(0, oldest)];

	const bounded = (record: ExplainRecord): ExplainRecord => ({
		atWallMs: record.atWallMs,
		kind: record.kind.slice(0, maxTextLength),
		subject: record.subject.slice(0, maxTextLength),
		cause: record.cause.slice(0, maxTextLength),
		result: record.result.slice(0, maxTextLength),
	});

	return {
		get size() {
			return records.length;
		},
		add(record) {
			if (records.length < options.maxRecords) {
				records.push(bounded(record));
				return;
			}

			records[oldest] = bounded(record);
			oldest = (oldest + 1) % options.maxRecords;
		},
		bySubject(subject) {
			const key = subject.slice(0, maxTextLength);
			return ordered().filter((record) => record.subject === key);
		},
		byMinute(minute) {
			return ordered().filter(
				(record) => Math.floor(record.atWallMs / minuteMs) === minute,
			);
		},
	};
}
