/** The promises that hold at any time, by name. */
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
