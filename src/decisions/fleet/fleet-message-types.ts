import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../scheduling/index.js';
import type {
	PermitDecision,
	PermitRequest,
	RateLimitReport,
} from '../rate-limits/index.js';
import type {PartReport} from '../quarantine/index.js';
import type {AvoidedTargetList, TargetReport} from '../fleet-health/index.js';
import type {CallReport, ServiceDemand} from '../zone-spillover/index.js';
import type {RetryCredit} from './retry-pool.js';
import type {MemberInfo, PeerTableStates} from './types.js';

/**
 * Sent regularly by each VM to the coordinator and its standby, and to seeds while it looks for other VMs.
 */
export type Heartbeat = PeerTableStates & {
	readonly kind: 'heartbeat';
	readonly sender: MemberInfo;
	/** Increases with each heartbeat or beacon of an instance; receivers drop older ones. */
	readonly sequence: number;
	/** All runs of the sender. */
	readonly runs: readonly RunState[];
};

/**
 * Broadcast by the coordinator to all VMs. Any VM also sends it in response to the first heartbeat of
 * another one, and to a heartbeat that should have gone elsewhere.
 */
export type Beacon = PeerTableStates & {
	readonly kind: 'beacon';
	readonly sender: MemberInfo;
	/** Shares its numbering with the heartbeats of the sender. */
	readonly sequence: number;
	/** Largest number of VMs that may be serving. */
	readonly vmCount: number;
	/** Highest-ranked members, each with the time since its last direct message, in milliseconds. */
	readonly members: ReadonlyArray<readonly [MemberInfo, number]>;
};

/** Urgent changes to the runs of the sender, sent between heartbeats. */
export type RunUpdate = {
	readonly kind: 'run-update';
	/** Runs that started or changed. */
	readonly set: readonly RunState[];
	/** Ids of runs that ended. */
	readonly ended: readonly string[];
};

/** Requests an engine for a generation. */
export type PlacementRequestMessage = {
	readonly kind: 'place';
	readonly request: PlacementRequest;
};

/** Decision on the placement request with this id. */
export type PlacementDecisionMessage = {
	/** Also for the outcomes `waiting` and `refused`. */
	readonly kind: 'placed';
	readonly id: string;
	readonly decision: PlacementDecision;
};

/** Withdraws a placement request and releases the memory reserved for it. */
export type PlacementCancelMessage = {
	readonly kind: 'cancel';
	readonly id: string;
};

/** Requests a retry from the coordinator's pool, once the sender's own share is used up. */
export type RetryRequestMessage = {
	readonly kind: 'retry';
	readonly id: string;
	readonly service: string;
};

/** Decision on the retry request with this id. */
export type RetryDecisionMessage = {
	readonly kind: 'retry-answer';
	readonly id: string;
	readonly isGranted: boolean;
};

/** Cedes retries of the sender's own share to the pool of the coordinator. */
export type RetryCreditsMessage = {
	readonly kind: 'retry-credits';
	/** Differs from that of the sender's message before; a message that arrives twice counts once. */
	readonly sequence: number;
	readonly credits: readonly RetryCredit[];
};

/** Rate limits of targets that the sender knows. */
export type RateLimitsMessage = {
	readonly kind: 'rate-limits';
	readonly reports: readonly RateLimitReport[];
};

/** Requests the permit to send a request to a target with a rate limit. */
export type PermitRequestMessage = {
	readonly kind: 'permit';
	readonly id: string;
	readonly request: PermitRequest;
};

/** Decision on the permit request with this id. */
export type PermitDecisionMessage = {
	readonly kind: 'permit-answer';
	readonly id: string;
	/** Undefined if the sender does not hand out permits; the receiver then uses its own share. */
	readonly decision: PermitDecision | undefined;
};

/** Crashes under prompt parts that the sender knows of. */
export type CrashEvidenceMessage = {
	readonly kind: 'crash-evidence';
	readonly reports: readonly PartReport[];
};

/** What the sender's calls have shown of the targets of plain services. */
export type TargetReportMessage = {
	readonly kind: 'target-report';
	readonly report: TargetReport;
};

/** Targets of plain services that get only part of their usual calls, by the evidence of all VMs. */
export type AvoidedTargetsMessage = {
	readonly kind: 'avoided-targets';
	readonly list: AvoidedTargetList;
};

/** Calls to plain services that the sender has received since its last report. */
export type CallRatesMessage = {
	readonly kind: 'call-rates';
	/** Zone of the sender. */
	readonly availabilityZone: string;
	readonly calls: readonly CallReport[];
};

/** Demand for plain services, as the coordinator has summed it. */
export type ZoneDemandMessage = {
	readonly kind: 'zone-demand';
	readonly demands: readonly ServiceDemand[];
};

/**
 * Messages between VMs about membership, runs, placements, retries, rate limits, crashes of engines, the
 * health of targets and the demand for plain services.
 */
export type FleetMessage =
	| AvoidedTargetsMessage
	| Beacon
	| CallRatesMessage
	| CrashEvidenceMessage
	| Heartbeat
	| PermitRequestMessage
	| PermitDecisionMessage
	| RateLimitsMessage
	| PlacementRequestMessage
	| PlacementCancelMessage
	| PlacementDecisionMessage
	| RetryCreditsMessage
	| RetryRequestMessage
	| RetryDecisionMessage
	| RunUpdate
	| TargetReportMessage
	| ZoneDemandMessage;
