import type {Membership} from './membership-types.js';

/** Sums that a VM has to publish. */
export type SumRole = {
	readonly publishesGroupSum: boolean;
	readonly publishesRegionSum: boolean;
	/** True if the region has other groups, which need this group's sum. */
	readonly hasOtherGroups: boolean;
};

/**
 * Determines which sums a VM publishes. The live VM with the first name of a group publishes the group's sum,
 * that of the region's first group also the region's. If two VMs both publish a sum, the later one replaces the
 * earlier one.
 */
export function sumRoleOf(
	self: string,
	region: string,
	membership: Membership,
	nowMs: number,
): SumRole {
	const {selector, directory} = membership;
	let isFirst = true;
	for (const {name} of selector.groupMembers) {
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
		publishesGroupSum: isFirst,
		publishesRegionSum:
			isFirst && hasOtherRegions && firstGroup === selector.group,
		hasOtherGroups,
	};
}
