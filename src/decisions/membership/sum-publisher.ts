import type {Membership} from './membership-types.js';

/** Which sums a VM publishes. */
export type SumRole = {
	readonly group: boolean;
	readonly region: boolean;
	/** True if the region has other groups that want this group's sum. */
	readonly otherGroups: boolean;
};

/**
 * The first live VM of a group by name publishes its sum; that of the region's first group publishes the
 * region's. Two VMs that both think so do no harm: the later sum replaces the earlier one.
 */
export function isSumPublisher(
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
	let otherGroups = false;
	let otherRegions = false;
	for (const member of directory.members()) {
		if (member.region !== region) {
			otherRegions = true;
			continue;
		}

		const group = selector.groupOf(member);
		otherGroups ||= group !== selector.group;
		if (group < firstGroup && directory.mayContact(member.name, nowMs)) {
			firstGroup = group;
		}
	}

	return {
		group: isFirst,
		region: isFirst && otherRegions && firstGroup === selector.group,
		otherGroups,
	};
}
