import type {PlaceAnswer, PlaceDemand, RunState} from '../scheduling/index.js';
import type {MemberMark, TableMark} from './types.js';

/** Sent by each VM to the accountants at a steady pace, with all its runs. */
export type Heartbeat = {
	readonly kind: 'heartbeat';
	readonly sender: MemberMark;
	readonly sequence: number;
	readonly configuration: TableMark;
	readonly targets: TableMark;
	readonly runs: readonly RunState[];
};

/** What the coordinator tells all VMs, and any VM one that asks the wrong one. */
export type Beacon = {
	readonly kind: 'beacon';
	readonly sender: MemberMark;
	readonly sequence: number;
	readonly vmCount: number;
	/** First members in the order of duties, each with the time since it was heard, in milliseconds. */
	readonly members: ReadonlyArray<readonly [MemberMark, number]>;
	readonly configuration: TableMark;
	readonly targets: TableMark;
};

/** Runs that began, moved or ended since the last heartbeat. */
export type RunUpdate = {
	readonly kind: 'run-update';
	readonly set: readonly RunState[];
	readonly ended: readonly string[];
};

/** A demand for an engine. */
export type PlaceAsk = {
	readonly kind: 'place';
	readonly demand: PlaceDemand;
};

/** Answer to a demand. */
export type PlaceReply = {
	readonly kind: 'placed';
	readonly id: string;
	readonly answer: PlaceAnswer;
};

/** A demand, or what was reserved for it, is of no use. */
export type PlaceCancel = {
	readonly kind: 'cancel';
	readonly id: string;
};

/** Asks for a repeated send beyond the share of the sender. */
export type RetryAsk = {
	readonly kind: 'retry';
	readonly id: string;
	readonly service: string;
};

/** Answer to it. */
export type RetryReply = {
	readonly kind: 'retry-answer';
	readonly id: string;
	readonly isGranted: boolean;
};

/** Messages between VMs about duties, runs, placements and repeated sends. */
export type FleetMessage =
	| Beacon
	| Heartbeat
	| PlaceAsk
	| PlaceCancel
	| PlaceReply
	| RetryAsk
	| RetryReply
	| RunUpdate;
