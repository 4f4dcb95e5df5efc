import type {Membership} from './membership-types.js';

/** Sums that a VM has to publish. */
export type SumRole = {
	readonly isGroupPublisher: boolean;
	readonly isRegionPublisher: boolean;
	/** True if the region has other groups; only then is the group's sum published. */
	readonly hasOtherGroups: boolean;
};

/**
 * Determines which sums a VM publishes. The live VM whose name sorts first in a group publishes the group's sum,
 * that of the region's first group also the region's. Two VMs that both publish a sum do no harm: sums have
 * versions, and a newer one replaces an older one.
 */
export function sumRoleOf(
	self: string,
	region: string,
	membership: Membership,
	nowMs: number,
): SumRole {
	const {selector, directory} = membership;
	let isFirst = true;
	for (const {name} of selector.groupPeers) {
		if (name < self && directory.stateOf(name, nowMs) === 'live') {
			isFirst = false;
			break;
		}
	}

	let firstGroup = selector.group;
	let hasOtherGroups = false;
	let hasOtherRegions = false;
	for (const member of directory.members()) {
		if (member.region !== region) {
			hasOtherRegions = true;
			continue;
		}

		const group = selector.groupOf(member);
		hasOtherGroups ||= group !== selector.group;
		if (group < firstGroup && directory.mayContact(member.name, nowMs)) {
			firstGroup = group;
		}
	}

	return {
		isGroupPublisher: isFirst,
		isRegionPublisher:
			isFirst && hasOtherRegions && firstGroup === selector.group,
		hasOtherGroups,
	};
}
