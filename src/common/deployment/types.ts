/** Whether requests on a route may be sent more than once, and whether their responses are streams. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that receives a fraction of a route's requests. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the sum of the weights of the route's shares. */
	readonly weight: number;
};

/** Serving rule for the requests with one host and path prefix. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time that a request may wait for its response, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective: a response within this time gets full credit, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest gap between two events of a stream that meets its objective, in milliseconds. */
	readonly maxEventGapMs: number | undefined;
	/** Largest number of targets that may execute one request of a caller. */
	readonly maxAttempts: number;
	/** 0 is the highest priority. */
	readonly priority: number;
	/** True if no API key is needed. */
	readonly anonymous: boolean;
	/** True if a stream may be continued by a new run that starts after the last event received. */
	readonly resumable: boolean;
	/** True if the requests are for a generation of a model. */
	readonly generation: boolean;
	readonly shares: readonly ServiceShare[];
	/** Regions whose targets may get the requests; empty for all. */
	readonly allowedRegions: readonly string[];
};

/** Configuration of a client account. */
export type AccountRule = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Overrides the priority of the route, if set. */
	readonly priority: number | undefined;
	/** Regions whose targets may get the requests of the account; empty for all. */
	readonly allowedRegions: readonly string[];
};

/** Configuration of a service: a group of targets, plain services or engines, that serve the same requests. */
export type ServiceRule = {
	readonly name: string;
	/** Largest number of connections that one target of the service accepts from all VMs together. */
	readonly maxConnections: number | undefined;
	/** Time for which a target is cold after its start or return, in milliseconds; 0 if it never is. */
	readonly coldMs: number;
	/** Requests per second that a cold target may get from all VMs together; 0 without such a limit. */
	readonly coldRequestsPerSecond: number;
};

/** Size and time limits for callers' requests and connections. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the operator's configuration. */
export type DeploymentConfiguration = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly services: ReadonlyMap<string, ServiceRule>;
	/** Undefined if requests need no API key. */
	readonly accounts: readonly AccountRule[] | undefined;
	readonly limits: CallerLimits;
};

/** The entry that a target registered in the store. */
export type TargetEntry = {
	/** Identifies one incarnation of a target, together with `bornMs` where that is set. */
	readonly id: string;
	readonly service: string;
	/** `address:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Number of requests that the target executes at once. */
	readonly slotCount: number;
	/** `draining`: the target is leaving and must get no new requests. */
	readonly state: 'ready' | 'draining';
	/** Remaining warm-up time, during which the target is slow, in milliseconds. */
	readonly warmingMs: number;
	/** Unix time of the target's start in milliseconds, if the entry has it. */
	readonly bornMs: number | undefined;
};

/** CPU, memory and descriptor limits of a VM. */
export type VmLimits = {
	readonly memoryMb: number;
	/** Largest number of open file descriptors, sockets included. */
	readonly maxDescriptors: number;
	/** CPU time available in each second, in milliseconds; may exceed 1000 with several cores. */
	readonly cpuMsPerSecond: number;
};

/** Bounds that the platform requires of every VM. */
export type ServingBounds = {
	/** Time after which a leaving target must get no new requests, in milliseconds. */
	readonly drainMs: number;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly stopGraceMs: number;
	/** Time within which a new configuration must be in force, in milliseconds. */
	readonly configurationApplyMs: number;
	/** Retry budget of a service as a ratio: sends beyond the first, per request. */
	readonly retryRatio: number;
	/** Further retries that a service may get in each window, from all VMs together. */
	readonly retryExtra: number;
	/** Length of a window of the retry budget, in milliseconds. */
	readonly retryWindowMs: number;
	/** Time after which the address of an ended target may be assigned to another, in milliseconds. */
	readonly addressReuseMs: number;
	/** Time after which the targets of an evacuated availability zone must get no requests, in milliseconds. */
	readonly evacuateMs: number | undefined;
	/** Factor by which a cold target's rate may be exceeded in a second; undefined if it is not limited. */
	readonly coldOverage: number | undefined;
	/** Further requests that a cold target may get in a second; undefined if they are not limited. */
	readonly coldSlack: number | undefined;
};

/** Settings of a VM, from its boot file. */
export type VmSettings = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** Regions of the availability zones, as far as they are known, by the name of the zone. */
	readonly regions: ReadonlyMap<string, string>;
	/** `address:port` on which callers are served. */
	readonly callerAddress: string;
	/** `address:port` of the readiness check. */
	readonly readyAddress: string;
	readonly ip: string;
	/** First and last port available for traffic between VMs. */
	readonly peerPorts: readonly [number, number];
	/** IP addresses of VMs to contact first for the list of members; some may be outdated or down. */
	readonly seedIps: readonly string[];
	/** `address:port` of the store. */
	readonly storeAddress: string;
	/** Interval at which targets renew their entries in the store, in milliseconds. */
	readonly heartbeatMs: number;
	readonly limits: VmLimits;
	readonly bounds: ServingBounds;
};
