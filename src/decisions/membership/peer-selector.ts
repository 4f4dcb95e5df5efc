import type {RandomSource} from '../../common/index.js';
import type {MemberDirectory} from './member-directory.js';
import type {Distance, MemberAddress} from './types.js';

/** Divides the entry VMs into groups, and chooses the peers that a VM exchanges messages with. */
export type PeerSelector = {
	/** Group of this VM: its region, or its availability zone in a large region. */
	readonly group: string;
	/** Other VMs of the group. */
	readonly groupPeers: readonly MemberAddress[];
	/** Regroups the members; call after the directory has changed. */
	refresh(): void;
	groupOf(member: MemberAddress): string;
	distanceOf(name: string): Distance;
	/** A random peer at this distance, preferably one to which no request failed recently. */
	choose(distance: Distance, nowMs: number): MemberAddress | undefined;
	/** The peer of the `turn`-th regular exchange: most turns go to the group, some to other groups. */
	chooseForTurn(turn: number, nowMs: number): MemberAddress | undefined;
};

// Up to this many entry VMs, a region is one group whose members share all entries with each other. In a larger
// region each availability zone is a group and only sums leave it, because the number of entries grows with the
// size of a group.
const maxFlatRegionVms = 16;
const distanceByTurn: readonly Distance[] = [
	'group',
	'group',
	'region',
	'group',
	'group',
	'fleet',
	'group',
	'group',
	'region',
	'group',
];
const maxTries = 3;

// One choice in eight ignores recent failures, so that a VM that is reachable again is noticed.
const probeOneIn = 8;

export function createPeerSelector(
	self: MemberAddress,
	directory: MemberDirectory,
	random: RandomSource,
): PeerSelector {
	const peersByDistance: Record<Distance, MemberAddress[]> = {
		group: [],
		region: [],
		fleet: [],
	};
	const regionSizes = new Map<string, number>();

	const groupOf = (member: MemberAddress) =>
		(regionSizes.get(member.region) ?? 1) > maxFlatRegionVms
			? member.availabilityZone
			: member.region;

	const distanceOfMember = (member: MemberAddress): Distance => {
		if (member.region !== self.region) {
			return 'fleet';
		}

		return groupOf(member) === groupOf(self) ? 'group' : 'region';
	};

	const choose = (distance: Distance, nowMs: number) => {
		const peers = peersByDistance[distance];
		if (peers.length === 0) {
			return undefined;
		}

		let chosen = peers[random.nextInt(peers.length)];
		if (random.nextInt(probeOneIn) === 0) {
			return chosen;
		}

		for (let attempt = 0; attempt < maxTries; attempt++) {
			if (directory.mayContact(chosen.name, nowMs)) {
				break;
			}

			chosen = peers[random.nextInt(peers.length)];
		}

		return chosen;
	};

	return {
		get group() {
			return groupOf(self);
		},
		get groupPeers() {
			return peersByDistance.group;
		},
		refresh() {
			regionSizes.clear();
			for (const member of [self, ...directory.members()]) {
				regionSizes.set(
					member.region,
					(regionSizes.get(member.region) ?? 0) + 1,
				);
			}

			peersByDistance.group = [];
			peersByDistance.region = [];
			peersByDistance.fleet = [];
			for (const member of directory.members()) {
				peersByDistance[distanceOfMember(member)].push(member);
			}
		},
		groupOf,
		distanceOf(name) {
			const member = directory.addressOf(name);
			return member ? distanceOfMember(member) : 'fleet';
		},
		choose,
		chooseForTurn(turn, nowMs) {
			return (
				choose(distanceByTurn[turn % distanceByTurn.length], nowMs) ??
				choose('group', nowMs) ??
				choose('region', nowMs) ??
				choose('fleet', nowMs)
			);
		},
	};
}
