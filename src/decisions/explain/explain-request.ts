/** A record of a front daemon's log file, one line of JSON; read by the program `cowslip-explain`. */
export type LogRecord = Readonly<Record<string, unknown>> & {
	readonly timestamp: string;
	readonly message: string;
	readonly vm?: string;
	readonly request?: string;
	readonly target?: string;
};

/** Time before and after a request whose events count as related to it, in milliseconds. */
const contextMs = 3000;

/** Log messages about the state of a VM and its dependencies that belong to the explanation of a request. */
const vmMessages: ReadonlySet<string> = new Set([
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

/** Log messages about the rate limit of a target, which holds until the next of them. */
const rateLimitMessages: ReadonlySet<string> = new Set([
	'rate limit set',
	'rate limit lifted',
]);

const timeOf = (record: LogRecord) => Date.parse(record.timestamp);

function isLogRecord(value: unknown): value is LogRecord {
	const record = value as Partial<LogRecord> | null;
	return (
		typeof record?.timestamp === 'string' && typeof record.message === 'string'
	);
}

/** Parses a log file. Lines that are not records of a daemon are skipped. */
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

/** Selects the last record of each VM about each target's rate limit before a time. */
function rateLimitsBefore(
	records: readonly LogRecord[],
	startMs: number,
): ReadonlySet<LogRecord> {
	const last = new Map<string, LogRecord>();
	for (const record of records) {
		if (rateLimitMessages.has(record.message) && timeOf(record) < startMs) {
			last.set(`${record.vm} ${record.target}`, record);
		}
	}

	return new Set(last.values());
}

/** Ends the outcome of a request that was refused because of rate limits, whichever targets have them. */
const rateLimitOutcome = 'limit their request rate';

/**
 * Selects the records that explain the outcome of one request: its own records, and those of its VMs
 * about its targets and the VMs' dependencies around that time, with the rate limits in force before.
 * @returns records ordered by time; empty if the request is not in the log
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
	const isRateLimited = own.some(({outcome}) =>
		String(outcome).endsWith(rateLimitOutcome),
	);
	const times = own.map((record) => timeOf(record));
	const startMs = Math.min(...times) - contextMs;
	const endMs = Math.max(...times) + contextMs;
	const earlierRateLimits = rateLimitsBefore(records, startMs);
	return records
		.filter((record) => {
			if (record.request !== undefined) {
				return record.request === requestId;
			}

			const isNear =
				(timeOf(record) >= startMs && timeOf(record) <= endMs) ||
				earlierRateLimits.has(record);
			const isRelated =
				vmMessages.has(record.message) ||
				targets.has(record.target) ||
				(isRateLimited && rateLimitMessages.has(record.message));
			return vms.has(record.vm) && isNear && isRelated;
		})
		.sort((first, second) => timeOf(first) - timeOf(second));
}
