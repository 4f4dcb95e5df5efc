import type {Distance, SharedEntry} from './types.js';

const groupPrefix = 'g:';
const regionPrefix = 'r:';

/** Scope of a sum over one group of entry VMs. */
export function groupScope(group: string): string {
	return groupPrefix + group;
}

/** Scope of a sum over one region. */
export function regionScope(region: string): string {
	return regionPrefix + region;
}

/** True for the scope of a sum rather than of one VM. */
export function isSumScope(scope: string): boolean {
	return scope.startsWith(groupPrefix) || scope.startsWith(regionPrefix);
}

/** How far an entry travels: single VMs stay in their group, sums of groups in their region. */
export function maxDistanceOf(entry: SharedEntry): Distance {
	if (entry.kind === 'leaving' || entry.scope.startsWith(regionPrefix)) {
		return 'fleet';
	}

	return entry.scope.startsWith(groupPrefix) ? 'region' : 'group';
}

/** Whether an entry may be sent to a peer that is this close. */
export function mayPropagateTo(
	entry: SharedEntry,
	closeness: Distance,
): boolean {
	const reach = maxDistanceOf(entry);
	return (
		reach === 'fleet' ||
		closeness === 'group' ||
		(reach === 'region' && closeness === 'region')
	);
}
