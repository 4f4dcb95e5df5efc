/** A record of a front daemon's log file, one line of JSON; read by the program `cowslip-explain`. */
export type LogRecord = Readonly<Record<string, unknown>> & {
	readonly timestamp: string;
	readonly message: string;
	readonly vm?: string;
	readonly request?: string;
	readonly target?: string;
	/** Id of a prompt part. */
	readonly part?: string;
	/** Ids of the prompt parts of a request. */
	readonly promptParts?: string;
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

/** Log messages about what a target says of itself, by the statement; each holds until the next of them. */
const statementKinds: ReadonlyMap<string, string> = new Map([
	['rate limit set', 'rate limit'],
	['rate limit lifted', 'rate limit'],
	['leaving of a target begins', 'leaving'],
	['leaving of a target ends', 'leaving'],
	['back-off of a target begins', 'back-off'],
	['back-off of a target ends', 'back-off'],
]);

/** Log messages about prompt parts, whose suspicion holds until the next of them. */
const suspicionMessages: ReadonlySet<string> = new Set([
	'suspicion of a prompt part begins',
	'suspicion of a prompt part ends',
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

/** Names the state that a record is about, if it holds until the next record of the same state. */
function lastingStateOf({
	message,
	vm,
	target,
	part,
}: LogRecord): string | undefined {
	const kind = statementKinds.get(message);
	if (kind !== undefined) {
		return `${vm} ${target} ${kind}`;
	}

	return suspicionMessages.has(message) ? `${vm} ${part}` : undefined;
}

/** Selects the last record about each lasting state before a time. */
function lastingStatesBefore(
	records: readonly LogRecord[],
	startMs: number,
): ReadonlySet<LogRecord> {
	const last = new Map<string, LogRecord>();
	for (const record of records) {
		const state = lastingStateOf(record);
		if (state !== undefined && timeOf(record) < startMs) {
			last.set(state, record);
		}
	}

	return new Set(last.values());
}

/** Ends of the outcomes of requests that were refused because of what targets said, whichever targets they are. */
const statementOutcomes = [
	'limit their request rate',
	'all targets leave',
	'want no requests for a time',
];

/**
 * Selects the records that explain the outcome of one request: its own records, and those of its VMs
 * about its targets, its prompt parts and the VMs' dependencies around that time, with what its targets had said
 * and which parts were suspected before.
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
	const parts = new Set(
		own.flatMap(({promptParts}) => promptParts?.split(' ') ?? []),
	);
	const isRefusedForStatements = own.some(({outcome}) =>
		statementOutcomes.some((end) => String(outcome).endsWith(end)),
	);
	const times = own.map((record) => timeOf(record));
	const startMs = Math.min(...times) - contextMs;
	const endMs = Math.max(...times) + contextMs;
	const earlierStates = lastingStatesBefore(records, startMs);
	return records
		.filter((record) => {
			if (record.request !== undefined) {
				return record.request === requestId;
			}

			const isNear =
				(timeOf(record) >= startMs && timeOf(record) <= endMs) ||
				earlierStates.has(record);
			const isRelated =
				vmMessages.has(record.message) ||
				targets.has(record.target) ||
				(record.part !== undefined && parts.has(record.part)) ||
				(isRefusedForStatements && statementKinds.has(record.message));
			return vms.has(record.vm) && isNear && isRelated;
		})
		.sort((first, second) => timeOf(first) - timeOf(second));
}
