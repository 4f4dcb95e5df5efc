/** What may be repeated of the requests on a route, and how they are answered. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** Part of a route's requests that one service gets. */
export type ServiceShare = {
	readonly service: string;
	/** Relative to the weights of the route's other shares. */
	readonly weight: number;
};

/** How the requests below one path of one host are served. */
export type RouteRule = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time that a request is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer earns its full credit, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest pause between two events of a stream that is on time, in milliseconds. */
	readonly maxEventGapMs: number | undefined;
	/** Targets that may run one attempt of a caller. */
	readonly maxAttempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** True if no API key is needed. */
	readonly anonymous: boolean;
	/** True if a caller may continue a stream with a new run. */
	readonly resumable: boolean;
	/** True if the requests are generations of a model. */
	readonly generation: boolean;
	readonly shares: readonly ServiceShare[];
};

/** A client account and its keys. */
export type AccountRule = {
	readonly name: string;
	readonly apiKeys: readonly string[];
	/** Replaces the priority of the route, if set. */
	readonly priority: number | undefined;
};

/** What the operator says of a service. */
export type ServiceRule = {
	readonly name: string;
	/** Connections that one target of the service accepts from all VMs together. */
	readonly maxConnections: number | undefined;
};

/** Bounds on what a caller may send and how long it may take. */
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
	/** Undefined if requests need no key. */
	readonly accounts: readonly AccountRule[] | undefined;
	readonly limits: CallerLimits;
};

/** What a target registered of itself. */
export type TargetEntry = {
	/** Names one start of a target, unless `bornMs` tells two apart. */
	readonly id: string;
	readonly service: string;
	/** `address:port`. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Requests that it runs at once. */
	readonly slotCount: number;
	readonly state: 'ready' | 'draining';
	/** Time for which it stays slow after its start, in milliseconds. */
	readonly warmingMs: number;
	/** Unix time of its start in milliseconds, if it says so. */
	readonly bornMs: number | undefined;
};

/** Share of a core, memory and sockets that a VM has. */
export type VmLimits = {
	readonly memoryMb: number;
	readonly maxDescriptors: number;
	/** Processor time in a second, in milliseconds. */
	readonly cpuMsPerSecond: number;
};

/** Bounds of the contract that a VM has to keep. */
export type ServingBounds = {
	/** Time after which a target that is leaving gets no new request, in milliseconds. */
	readonly drainMs: number;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly stopGraceMs: number;
	/** Time in which a configuration must be in force, in milliseconds. */
	readonly configurationApplyMs: number;
	/** Sends beyond the first of each request, per request to the same service. */
	readonly retryRatio: number;
	/** Sends beyond the first that a service may get in each window besides, for all VMs. */
	readonly retryExtra: number;
	readonly retryWindowMs: number;
	/** Time after which the address of an ended target may belong to another, in milliseconds. */
	readonly addressReuseMs: number;
};

/** What a VM learns from its boot file. */
export type VmSettings = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	/** `address:port` for callers. */
	readonly callerAddress: string;
	/** `address:port` of the readiness check. */
	readonly readyAddress: string;
	/** IP address of the VM. */
	readonly ip: string;
	/** First and last free port for traffic between VMs. */
	readonly peerPorts: readonly [number, number];
	/** IP addresses of some VMs that may know others; they may be old or down. */
	readonly seedIps: readonly string[];
	/** `address:port` of the store. */
	readonly storeAddress: string;
	/** Interval at which targets renew their entries, in milliseconds. */
	readonly heartbeatMs: number;
	readonly limits: VmLimits;
	readonly bounds: ServingBounds;
};
