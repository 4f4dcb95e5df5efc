/** Names of headers on the wire. Compare them without regard to case. */
export const headerNames = {
	requestId: 'Cowslipspread-Attempt-Id',
	timeoutMs: 'Cowslipspread-Deadline-Ms',
	promptParts: 'Cowslipspread-Prompt-Prefix',
	model: 'Cowslipspread-Model',
	tokenCounts: 'Cowslipspread-Token-Counts',
	lengthHint: 'Cowslipspread-Length-Hint',
	lastEventId: 'Last-Event-Id',
	/** Set by targets only; shows that a target made the response. */
	targetStamp: 'Cowslipspread-Runner-Stamp',
	account: 'Cowslipspread-Tenant',
	expectedTarget: 'Cowslipspread-Expect-Instance',
	notExecuted: 'Cowslipspread-Not-Executed',
	priority: 'Cowslipspread-Request-Priority',
	backup: 'Cowslipspread-Kv-Backup',
	continueFrom: 'Kv-From',
	apiKey: 'Api-Key',
	/** Requests per second that the responding target accepts from all VMs together. */
	rateLimit: 'Server-Limit',
	/** `1` in all responses of a target that leaves. */
	leaving: 'Server-Leaving',
	/** Milliseconds for which the responding target stays cold; 0 if it is not. */
	coldMs: 'Cowslipspread-Cold-Ms',
	/** Seconds for which a target that turns a request away wants no others from this VM. */
	retryAfter: 'Retry-After',
	/** In responses of the store: how often it has been restored from an older copy. */
	storeEra: 'Store-Era',
} as const;

/** Headers of responses, in lower case, that decide what a response means; none may be repeated. */
export const decidingHeaders: ReadonlySet<string> = new Set(
	[
		headerNames.requestId,
		headerNames.targetStamp,
		headerNames.notExecuted,
		headerNames.rateLimit,
		headerNames.leaving,
		headerNames.coldMs,
		headerNames.retryAfter,
		headerNames.storeEra,
		'Content-Encoding',
		'Content-Length',
	].map((name) => name.toLowerCase()),
);

/** Fields that events may have besides those of server-sent events: the version of the weights, where it changes. */
export const extraEventFields: ReadonlySet<string> = new Set([
	'cowslipspread-weight-versions',
]);

/** Headers of callers' requests that are not forwarded, in lower case; some are set anew for the target. */
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

/** Paths of the store's calls. */
export const storePaths = {
	transact: '/-/rows-tx',
	read: '/-/rows-get',
	follow: '/-/rows-feed',
} as const;

/** Paths of the targets' control calls. */
export const targetPaths = {
	report: '/-/report',
	/** Copies the KV cache while the run continues, as long as `last` is false in the body. */
	copyKvCache: '/-/kv-move',
	releaseCopy: '/-/kv-handle',
} as const;

/** Path of the readiness check. */
export const readyPath = '/-/readyz';

/** Names of the operator's and the targets' tables, and keys of rows in the former. */
export const tableNames = {
	operator: 'op',
	configurationKey: 'config',
	/** Followed by the availability zone to evacuate. */
	evacuationKeyPrefix: 'evacuate/',
	targets: 'servers',
} as const;

/** Environment variable that holds the path of the boot file. */
export const bootFileVariable = 'COWSLIPSPREAD_BOOT';
