/** Record of an automatic action of the system. Its texts are truncated when it is added to the log. */
export type ExplainRecord = {
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly atWallMs: number;
	/** What happened, for example `order` or `retry`. */
	readonly kind: string;
	/** Request, target or model affected. */
	readonly subject: string;
	/** Why it happened; must contain no secrets. */
	readonly cause: string;
	/** Result of the action; must contain no secrets. */
	readonly result: string;
};

export type ExplainLogOptions = {
	/** Number of records kept; the oldest are overwritten first. */
	readonly maxRecords: number;
};

/** Ring buffer of an entry daemon's latest records, which `cowslipctl explain` reads. */
export type ExplainLog = {
	readonly size: number;
	add(record: ExplainRecord): void;
	/** Records of one subject, oldest first. */
	bySubject(subject: string): readonly ExplainRecord[];
	/**
	 * Records of one calendar minute, oldest first.
	 * @param minute - minutes since the Unix epoch
	 */
	byMinute(minute: number): readonly ExplainRecord[];
};

const maxTextLength = 200;
const minuteMs = 60_000;

export function createExplainLog(options: ExplainLogOptions): ExplainLog {
	const records: ExplainRecord[] = [];
	let oldestIndex = 0;

	const inOrder = () => [
		...records.slice(oldestIndex),
		...records.slice(0, oldestIndex),
	];

	const truncated = (record: ExplainRecord): ExplainRecord => ({
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
				records.push(truncated(record));
				return;
			}

			records[oldestIndex] = truncated(record);
			oldestIndex = (oldestIndex + 1) % options.maxRecords;
		},
		bySubject(subject) {
			const key = subject.slice(0, maxTextLength);
			return inOrder().filter((record) => record.subject === key);
		},
		byMinute(minute) {
			return inOrder().filter(
				(record) => Math.floor(record.atWallMs / minuteMs) === minute,
			);
		},
	};
}
