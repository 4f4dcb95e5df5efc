import type {
	Clock,
	Disposable,
	RandomSource,
	Timers,
} from '../../common/index.js';
import {
	createPermitPool,
	type LimitedTarget,
	type PermitDecision,
	type PermitRequest,
} from '../rate-limits/index.js';
import type {FleetMessage} from './fleet-message-types.js';
import type {MemberList} from './member-list.js';

/** Receives the decision on a permit request. */
export type PermitListener = (
	decision: PermitDecision,
	/** Address of the VM that decided. */
	decidedBy: string,
) => void;

/**
 * Permits to send requests to targets with a rate limit. The coordinator hands them out for all VMs; a VM
 * that it does not answer uses its own share of each target's rate.
 */
export type PermitClient = {
	/**
	 * Requests a permit. If this VM decides itself, the decision may come before this returns.
	 * @param onDecision - called once unless disposed before
	 * @returns disposing it discards the decision
	 */
	request(request: PermitRequest, onDecision: PermitListener): Disposable;
	/** Handles a decision of another VM; one that is not expected has no effect. */
	handleDecision(
		from: string,
		id: string,
		decision: PermitDecision | undefined,
	): void;
	/**
	 * Decides on the request of another VM.
	 * @returns undefined if this VM does not hand out permits
	 */
	decideFor(request: PermitRequest): PermitDecision | undefined;
	/** Turns of new requests at a target, if this VM decides; undefined if the target has no limit. */
	turnsOf(
		targetId: string,
	): {readonly waitMs: number; readonly intervalMs: number} | undefined;
	/** Takes the next turn at a target without asking another VM; nothing happens if the target has no limit. */
	takeTurn(targetId: string): void;
	/** Removes the state of targets that get no requests; called at regular intervals. */
	sweep(): void;
};

export type PermitClientOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly ownAddress: string;
	readonly members: MemberList;
	/** Monotonic time at which this VM became coordinator, in milliseconds; Infinity if it is not. */
	readonly coordinatorSinceMs: () => number;
	readonly send: (address: string, message: FleetMessage) => void;
	/** Rate limit of a target as this VM knows it, in requests per second. */
	readonly limitOf: (targetId: string) => number | undefined;
};

/** Time for a coordinator to respond, in milliseconds. */
const responseTimeoutMs = 60;
/** Time for which a coordinator that did not respond is not asked, in milliseconds. */
const unresponsiveMs = 300;
/**
 * Fraction of a target's rate for the shares of all VMs together. A coordinator that some VMs do not reach
 * still hands out the whole rate to the others.
 */
const ownShareFraction = 0.5;
/** Longest time for which a denial by a VM's own share holds, in milliseconds. */
const maxOwnDenialMs = 1000;
/** Number of VMs that share a target's rate, as assumed by a VM that has not had the time to discover the others. */
const assumedVmCount = 32;
/**
 * Fraction of the VMs below which this coordinator may be one of many, as in a network that has broken into parts.
 * There are at most two parts of this size.
 */
const minWholeFraction = 0.5;
/** Turns that the fleet's pool lets requests use ahead of their time. */
const fleetAheadTurns = {usual: 1, urgent: 3} as const;
/** A VM's own share has none, since all VMs may have been idle and begin at the same time. */
const ownAheadTurns = {usual: 0, urgent: 0} as const;

type PendingPermit = {
	readonly request: PermitRequest;
	readonly onDecision: PermitListener;
	readonly askedAddress: string;
	readonly timeout: Disposable;
};

/** Shortens the times of a denial by a VM's own share: a coordinator may decide before the share has a turn. */
function untilCoordinated(
	decision: Extract<PermitDecision, {outcome: 'denied'}>,
): PermitDecision {
	return {
		...decision,
		waitMs: Math.min(decision.waitMs, maxOwnDenialMs),
		retryAfterMs: Math.min(decision.retryAfterMs, maxOwnDenialMs),
	};
}

export function createPermitClient(options: PermitClientOptions): PermitClient {
	const {clock, timers, random, members, ownAddress, send} = options;
	const pending = new Map<string, PendingPermit>();
	let requestCount = 0;
	/** Monotonic time since which this VM uses its own share, in milliseconds; undefined while another VM decides. */
	let ownShareSinceMs: number | undefined;
	let unresponsiveUntilMs = -Infinity;

	const isCoordinating = () =>
		members.settledVmCount !== undefined &&
		Number.isFinite(options.coordinatorSinceMs());
	const sharingVmCount = () =>
		members.settledVmCount ?? Math.max(members.vmCount, assumedVmCount);
	const fleetPool = createPermitPool({
		clock,
		random,
		rateFraction: () => members.liveFraction,
		startedMs: options.coordinatorSinceMs,
		aheadTurns: fleetAheadTurns,
		isOneOfMany: () => members.liveFraction < minWholeFraction,
	});
	const ownPool = createPermitPool({
		clock,
		random,
		rateFraction: () => ownShareFraction / sharingVmCount(),
		startedMs() {
			ownShareSinceMs ??= clock.nowMs();
			return ownShareSinceMs;
		},
		aheadTurns: ownAheadTurns,
		isOneOfMany: () => true,
	});

	const localPool = () => {
		if (isCoordinating()) {
			ownShareSinceMs = undefined;
			return fleetPool;
		}

		return ownPool;
	};

	const limitedTarget = (targetId: string): LimitedTarget | undefined => {
		const requestsPerSecond = options.limitOf(targetId);
		return requestsPerSecond === undefined
			? undefined
			: {targetId, requestsPerSecond};
	};

	/** Uses the newest limit that this VM or the requesting one knows. */
	const withKnownLimits = (request: PermitRequest): PermitRequest => ({
		...request,
		targets: request.targets.map(
			({targetId, requestsPerSecond}): LimitedTarget => ({
				targetId,
				requestsPerSecond: options.limitOf(targetId) ?? requestsPerSecond,
			}),
		),
	});

	const decideLocally = (
		request: PermitRequest,
		onDecision: PermitListener,
	) => {
		const decision = localPool().take(withKnownLimits(request));
		onDecision(
			decision.outcome === 'denied' && !isCoordinating()
				? untilCoordinated(decision)
				: decision,
			ownAddress,
		);
	};

	const settle = (id: string): PendingPermit | undefined => {
		const found = pending.get(id);
		pending.delete(id);
		found?.timeout.dispose();
		return found;
	};

	const useOwnShare = (id: string) => {
		const found = settle(id);
		if (found) {
			unresponsiveUntilMs = clock.nowMs() + unresponsiveMs;
			decideLocally(found.request, found.onDecision);
		}
	};

	return {
		request(request, onDecision) {
			const {address} = members.coordinator;
			const isAsked =
				address !== ownAddress &&
				!isCoordinating() &&
				clock.nowMs() >= unresponsiveUntilMs;
			if (!isAsked) {
				decideLocally(request, onDecision);
				return {
					dispose() {
						// The decision has been made.
					},
				};
			}

			requestCount++;
			const id = String(requestCount);
			pending.set(id, {
				request,
				onDecision,
				askedAddress: address,
				timeout: timers.after(responseTimeoutMs, () => {
					useOwnShare(id);
				}),
			});
			send(address, {kind: 'permit', id, request});
			return {
				dispose() {
					settle(id);
				},
			};
		},
		handleDecision(from, id, decision) {
			if (pending.get(id)?.askedAddress !== from) {
				return;
			}

			if (!decision) {
				useOwnShare(id);
				return;
			}

			ownShareSinceMs = undefined;
			settle(id)?.onDecision(decision, from);
		},
		decideFor(request) {
			return isCoordinating()
				? fleetPool.take(withKnownLimits(request))
				: undefined;
		},
		turnsOf(targetId) {
			const target = limitedTarget(targetId);
			return (
				target && {
					waitMs: localPool().waitMs(target),
					intervalMs: localPool().intervalMs(target),
				}
			);
		},
		takeTurn(targetId) {
			const target = limitedTarget(targetId);
			if (target) {
				localPool().take({
					targets: [target],
					maxWaitMs: Infinity,
					isUrgent: false,
				});
			}
		},
		sweep() {
			fleetPool.sweep();
			ownPool.sweep();
		},
	};
}
