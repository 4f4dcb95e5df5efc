import type {Membership} from './membership-types.js';

/** Which sums a VM publishes. */
export type SumRole = {
	readonly isGroupPublisher: boolean;
	readonly isRegionPublisher: boolean;
	/** True if the region has other groups that want this group's sum. */
	readonly hasOtherGroups: boolean;
};

/**
 * The first live VM of a group by name publishes its sum; that of the region's first group publishes the
 * region's. Two VMs that both think so do no harm: the later sum replaces the earlier one.
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
	let otherRegions = false;
	for (const member of directory.members()) {
		if (member.region !== region) {
			otherRegions = true;
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
		isRegionPublisher: isFirst && otherRegions && firstGroup === selector.group,
		hasOtherGroups,
	};
}
