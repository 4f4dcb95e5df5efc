/** Names of headers, calls and tables on the platform's wire, in lower case where case is free. */
export const headerNames = {
	requestId: 'Cowslipspread-Attempt-Id',
	timeoutMs: 'Cowslipspread-Deadline-Ms',
	promptParts: 'Cowslipspread-Prompt-Prefix',
	model: 'Cowslipspread-Model',
	tokenCounts: 'Cowslipspread-Token-Counts',
	lengthHint: 'Cowslipspread-Length-Hint',
	lastEventId: 'Last-Event-Id',
	/** Bears the proof that a target made the answer. */
	targetStamp: 'Cowslipspread-Runner-Stamp',
	account: 'Cowslipspread-Tenant',
	expectedTarget: 'Cowslipspread-Expect-Instance',
	notExecuted: 'Cowslipspread-Not-Executed',
	priority: 'Cowslipspread-Request-Priority',
	backup: 'Cowslipspread-Kv-Backup',
	continueFrom: 'Kv-From',
	apiKey: 'Api-Key',
} as const;

/** Headers that this system alone sets towards targets; a caller's are left out. */
export const unforwardedHeaders: ReadonlySet<string> = new Set(
	[
		headerNames.account,
		headerNames.expectedTarget,
		headerNames.priority,
		headerNames.backup,
		headerNames.continueFrom,
		headerNames.apiKey,
		headerNames.timeoutMs,
		headerNames.lastEventId,
		'Cowslipspread-Expect-Version',
		'Cowslipspread-Pin-Ms',
		'Cowslipspread-Hold',
		'Kv-Fetch',
	].map((name) => name.toLowerCase()),
);

/** Calls of the store. */
export const storePaths = {
	transact: '/-/rows-tx',
	read: '/-/rows-get',
	follow: '/-/rows-feed',
} as const;

/** Calls of targets besides requests. */
export const targetPaths = {
	report: '/-/report',
	/** Copies while the run goes on, as long as the last part is not asked for. */
	copyKvCache: '/-/kv-move',
	releaseCopy: '/-/kv-handle',
} as const;

/** Path of the readiness check. */
export const readyPath = '/-/readyz';

/** Tables of the operator and of the targets, and the row of the configuration. */
export const tableNames = {
	operator: 'op',
	configurationKey: 'config',
	targets: 'servers',
} as const;

/** Environment variable that holds the path of the boot file. */
export const bootFileVariable = 'COWSLIPSPREAD_BOOT';
