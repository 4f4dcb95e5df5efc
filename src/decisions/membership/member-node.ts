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

/** What an entry VM brings to its membership. */
export type MemberNodeOptions = {
	readonly self: MemberAddress;
	/** Start of this process, higher than that of every earlier one on this VM. */
	readonly incarnation: number;
	readonly random: RandomSource;
	readonly wallMs: () => number;
	readonly nowMs: () => number;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	readonly contractOf: (account: string) => Contract;
	/** What this VM has running at targets. */
	readonly ownActivity: () => readonly TargetActivity[];
	readonly rules?: MembershipRules;
};

/** Membership of one entry VM with everything that is shared through it. */
export type MemberNode = {
	readonly membership: Membership;
	readonly ledger: SharedContractLedger;
	readonly peerUsage: PeerUsage;
	readonly leavingTargets: LeavingTargets;
	readonly activity: ActivityExchange;
	recordVmList(vms: readonly VmEntry[]): void;
	/** Updates what is shared and gives the messages that are due; call every `tickMs`. */
	tick(): OutgoingMessage[];
};

const publishIntervalMs = 1000;

/** Wires the parts of one VM's membership. */
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
