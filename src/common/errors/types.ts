/** Problem types. They are part of the interfaces to callers, operators and peers, so they must not change. */
export type ProblemType =
	/** The request was certainly not executed. */
	| 'not-run'
	/** The request may have been executed. */
	| 'outcome-unknown'
	| 'rate-limited'
	/** The engine lost a generation that could not be restarted. */
	| 'generation-lost'
	| 'unknown-model'
	| 'unknown-service'
	| 'invalid-request'
	| 'invalid-setting'
	| 'invalid-configuration'
	| 'configuration-conflict'
	| 'too-large'
	| 'unauthorized'
	| 'forbidden'
	| 'not-found'
	| 'idempotency-key-invalid'
	| 'idempotency-key-reused'
	| 'idempotency-key-expired'
	/** The stream to be resumed does not exist, at the entry VM or at the engine. */
	| 'stream-unknown'
	| 'deadline-exceeded'
	| 'target-protocol'
	/** The target cannot be reached, or closed the connection. */
	| 'target-unavailable'
	| 'target-failed'
	| 'table-unavailable'
	| 'table-outcome-unknown'
	| 'table-corrupt-row'
	| 'table-history-lost'
	| 'object-store-unavailable'
	| 'vm-list-unavailable'
	| 'weight-store-unavailable'
	| 'peer-unavailable'
	| 'peer-protocol'
	| 'order-rejected'
	| 'not-ready'
	/** An enforced invariant does not hold. */
	| 'promise-violated'
	| 'internal';
