/** A line of the log of a front daemon. */
export type LogRecord = Readonly<Record<string, unknown>> & {
	readonly timestamp: string;
	readonly message: string;
	readonly vm?: string;
	readonly request?: string;
	readonly target?: string;
};

/** Time before and after a request in which beliefs about its targets matter, in milliseconds. */
const surroundingMs = 3000;

/** Messages on what a VM believes of its dependencies. */
const dependencyMessages: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'stopped',
	'settings read again',
	'dependency lost',
	'dependency regained',
	'configuration read',
	'tables read from a peer',
	'tables not read from a peer',
]);

const timeOf = (record: LogRecord) => Date.parse(record.timestamp);

function isLogRecord(value: unknown): value is LogRecord {
	const record = value as Partial<LogRecord> | null;
	return (
		typeof record?.timestamp === 'string' && typeof record.message === 'string'
	);
}

/** Reads the lines of a log; what is not a record of a daemon is left out. */
export function parseLog(text: string): LogRecord[] {
	return text.split('\n').flatMap((line) => {
		try {
			const value = JSON.parse(line) as unknown;
			return isLogRecord(value) ? [value] : [];
		} catch {
			return [];
		}
	});
}

/**
 * Selects what explains the outcome of one request: its own lines, and what its VM came to believe of
 * its targets and dependencies around that time.
 * @returns records in the order of their times; none if the request is not in the log
 */
export function explainRequest(
	records: readonly LogRecord[],
	requestId: string,
): readonly LogRecord[] {
	const own = records.filter((record) => record.request === requestId);
	if (own.length === 0) {
		return [];
	}

	const vms = new Set(own.map((record) => record.vm));
	const targets = new Set(
		own.flatMap((record) => [record.target, record.backup, record.to]),
	);
	targets.delete(undefined);
	const times = own.map((record) => timeOf(record));
	const startMs = Math.min(...times) - surroundingMs;
	const endMs = Math.max(...times) + surroundingMs;
	return records
		.filter((record) => {
			if (record.request !== undefined) {
				return record.request === requestId;
			}

			const isNear = timeOf(record) >= startMs && timeOf(record) <= endMs;
			const concerns =
				dependencyMessages.has(record.message) || targets.has(record.target);
			return vms.has(record.vm) && isNear && concerns;
		})
		.sort((first, second) => timeOf(first) - timeOf(second));
}
