import type {
	Contract,
	RandomSource,
	TargetActivity,
	VmEntry,
} from '../../common/index.js';
import {
	createContractLedger,
	createPeerUsage,
	type PeerUsage,
	type SharedContractLedger,
} from '../contracts/index.js';
import {
	type ActivityExchange,
	createActivityExchange,
} from './activity-exchange.js';
import {createLeavingTargets, type LeavingTargets} from './leaving-targets.js';
import type {MembershipRules} from './membership-rules.js';
import type {Membership} from './membership-types.js';
import {createMembership} from './membership.js';
import type {MemberAddress, OutgoingMessage} from './types.js';
import {createUsageExchange} from './usage-exchange.js';

/** Identity of an entry VM, and what its membership needs from the rest of the daemon. */
export type MemberNodeOptions = {
	readonly self: MemberAddress;
	/** Wall-clock start of this process, in milliseconds. */
	readonly incarnation: number;
	readonly random: RandomSource;
	readonly wallMs: () => number;
	readonly nowMs: () => number;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	readonly contractOf: (account: string) => Contract;
	/** Open requests and tokens of this VM at targets. */
	readonly ownActivity: () => readonly TargetActivity[];
	readonly rules?: MembershipRules;
};

/** Membership of one entry VM with the usage, activity and leaving targets that are shared through it. */
export type MemberNode = {
	readonly membership: Membership;
	readonly ledger: SharedContractLedger;
	readonly peerUsage: PeerUsage;
	readonly leavingTargets: LeavingTargets;
	readonly activity: ActivityExchange;
	recordVmList(vms: readonly VmEntry[]): void;
	/** Publishes changes and returns the requests that are due; call every `tickMs`. */
	tick(): OutgoingMessage[];
};

const publishIntervalMs = 1000;

export function createMemberNode(options: MemberNodeOptions): MemberNode {
	const {self, nowMs, wallMs, contractOf} = options;
	const membership = createMembership(options);
	const peerUsage = createPeerUsage(options.rules?.extrapolateTokens);
	const ledger = createContractLedger({
		contractOf,
		peerUsage,
		vmCount: () => membership.directory.size + 1,
		connected: () => membership.connected(nowMs()),
	});
	const leavingTargets = createLeavingTargets(membership, wallMs);
	const identity = {self: self.name, region: self.region, membership};
	const activity = createActivityExchange(identity);
	const usage = createUsageExchange({
		...identity,
		ledger,
		peerUsage,
		contractOf,
		wallMs,
	});
	let publishedAtMs = Number.NEGATIVE_INFINITY;

	return {
		membership,
		ledger,
		peerUsage,
		leavingTargets,
		activity,
		recordVmList(vms) {
			membership.recordVmList(vms, nowMs());
			leavingTargets.recordVmList(vms, wallMs());
		},
		tick() {
			const atMs = nowMs();
			if (atMs - publishedAtMs >= publishIntervalMs) {
				publishedAtMs = atMs;
				usage.publish(atMs);
				activity.publish(options.ownActivity(), atMs);
				leavingTargets.expire(wallMs());
			}

			return membership.tick(atMs);
		},
	};
}
