import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../scheduling/index.js';
import type {MemberInfo, TableSyncState} from './types.js';

/** Sent by each VM to the accountants at a steady pace, with all its runs. */
export type Heartbeat = {
	readonly kind: 'heartbeat';
	readonly sender: MemberInfo;
	readonly sequence: number;
	readonly configuration: TableSyncState;
	readonly targets: TableSyncState;
	readonly runs: readonly RunState[];
};

/** What the coordinator tells all VMs, and any VM one that asks the wrong one. */
export type Beacon = {
	readonly kind: 'beacon';
	readonly sender: MemberInfo;
	readonly sequence: number;
	readonly vmCount: number;
	/** First members in the order of duties, each with the time since it was heard, in milliseconds. */
	readonly members: ReadonlyArray<readonly [MemberInfo, number]>;
	readonly configuration: TableSyncState;
	readonly targets: TableSyncState;
};

/** Runs that began, moved or ended since the last heartbeat. */
export type RunUpdate = {
	readonly kind: 'run-update';
	readonly set: readonly RunState[];
	readonly ended: readonly string[];
};

/** A demand for an engine. */
export type PlacementRequestMessage = {
	readonly kind: 'place';
	readonly request: PlacementRequest;
};

/** Answer to a demand. */
export type PlacementDecisionMessage = {
	readonly kind: 'placed';
	readonly id: string;
	readonly decision: PlacementDecision;
};

/** A demand, or what was reserved for it, is of no use. */
export type PlacementCancelMessage = {
	readonly kind: 'cancel';
	readonly id: string;
};

/** Asks for a repeated send beyond the share of the sender. */
export type RetryRequestMessage = {
	readonly kind: 'retry';
	readonly id: string;
	readonly service: string;
};

/** Answer to it. */
export type RetryDecisionMessage = {
	readonly kind: 'retry-answer';
	readonly id: string;
	readonly isGranted: boolean;
};

/** Messages between VMs about duties, runs, placements and repeated sends. */
export type FleetMessage =
	| Beacon
	| Heartbeat
	| PlacementRequestMessage
	| PlacementCancelMessage
	| PlacementDecisionMessage
	| RetryRequestMessage
	| RetryDecisionMessage
	| RunUpdate;
