/** Names of the invariants that are checked at run time. */
export type InvariantName =
	| 'token-order'
	| 'whole-answer'
	| 'not-run'
	| 'at-most-once'
	| 'leaving-target'
	| 'graceful-stop'
	| 'configuration'
	| 'contract-floor'
	| 'order-fencing';
