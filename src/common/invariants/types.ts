/** Names of the invariants that are checked at run time. */
export type InvariantName =
	/** The tokens of a generation are delivered in order, each once. */
	| 'token-order'
	/** A caller gets the complete response to its own request, or an error. */
	| 'whole-answer'
	| 'not-run'
	/** A call that must not be repeated is executed at most once. */
	| 'at-most-once'
	| 'leaving-target'
	/** An entry VM stops only when it has no open exchange. */
	| 'graceful-stop'
	/** The configuration version of a VM never decreases. */
	| 'configuration'
	/** A client account gets at least its floor and no more than its ceiling. */
	| 'contract-floor'
	| 'order-fencing';
