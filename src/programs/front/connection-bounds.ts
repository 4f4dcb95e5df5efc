import {
	createReceiveMemory,
	type OpenRequestLimits,
	type ServerBounds,
} from '../../adapters/front/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	defaultCallerLimits,
} from '../../common/index.js';
import {
	type ClosedConnectionsOptions,
	createClosedConnections,
	type PortUse,
} from './closed-connections.js';
import type {FrontSettings} from './front-settings.js';
import {heapSharesOf} from './heap-shares.js';

export type ConnectionBoundsOptions = ClosedConnectionsOptions & {
	readonly settings: FrontSettings;
	readonly clock: Clock;
};

/** Bounds of what callers make a VM hold before their requests are served. */
export type ConnectionBounds = Disposable & {
	of(port: PortUse): ServerBounds;
};

/** Percentage of the descriptors for callers' connections; targets and files need the rest. */
const callerDescriptorPercent = 60;
/** A load balancer and a few readers of metrics need no more. */
const minPageConnections = 8;
/**
 * All VMs of a large fleet may fetch tables from the same peer at once; a VM with few descriptors keeps most of
 * them for callers.
 */
const peerConnections = {most: 128, descriptorPercent: 20} as const;
const bytesPerMegabyte = 1_048_576;
/** Requests of the largest size that must fit while their bodies arrive. */
const minLargestRequests = 2;

const percentOf = (percent: number, whole: number) =>
	Math.floor((whole * percent) / 100);

function receiveMemoryBytes({vm, receiveMemoryPercent}: FrontSettings): number {
	const {maxHeaderBytes, maxBodyBytes} = defaultCallerLimits;
	return Math.max(
		percentOf(receiveMemoryPercent, vm.limits.memoryMb * bytesPerMegabyte),
		minLargestRequests * (maxHeaderBytes + maxBodyBytes),
	);
}

/** Returns how many requests of callers may be open, by the heap of the process. */
export function openRequestLimits({
	heapLimitBytes,
	addressConnectionsPercent,
}: FrontSettings): OpenRequestLimits {
	const max = heapSharesOf(heapLimitBytes).requestCount;
	return {
		max,
		maxPerAddress: Math.max(1, percentOf(addressConnectionsPercent, max)),
	};
}

/** Creates the bounds of all ports of a VM, which share the memory for requests that arrive. */
export function createConnectionBounds({
	settings,
	clock,
	...reporting
}: ConnectionBoundsOptions): ConnectionBounds {
	const owned = createDisposableStore();
	const closed = owned.add(createClosedConnections(reporting));
	const receiveMemory = createReceiveMemory({
		maxBytes: receiveMemoryBytes(settings),
		clock,
	});
	const {maxDescriptors} = settings.vm.limits;

	const leastConnections = (port: PortUse) =>
		port === 'peers'
			? Math.min(
					peerConnections.most,
					percentOf(peerConnections.descriptorPercent, maxDescriptors),
				)
			: minPageConnections;

	const maxConnections = (port: PortUse) =>
		port === 'callers'
			? Math.min(
					percentOf(callerDescriptorPercent, maxDescriptors),
					heapSharesOf(settings.heapLimitBytes).connectionCount,
				)
			: Math.max(
					leastConnections(port),
					percentOf(settings.pageConnectionsPercent, maxDescriptors),
				);

	return {
		of(port) {
			const max = maxConnections(port);
			return {
				maxConnections: max,
				maxPerAddress: Math.max(
					1,
					percentOf(settings.addressConnectionsPercent, max),
				),
				// A page takes no time; a caller's response may be long, and is then read slowly.
				closesUnread: port !== 'callers',
				receiveMemory,
				maxUnreadMs: settings.maxUnreadMs,
				onClosed(reason) {
					closed.record(port, reason);
				},
			};
		},
		dispose: owned.dispose,
	};
}
