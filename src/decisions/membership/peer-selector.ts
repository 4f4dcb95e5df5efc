import type {RandomSource} from '../../common/index.js';
import type {MemberDirectory} from './member-directory.js';
import type {Distance, MemberAddress} from './types.js';

/** Chooses the peers that a VM exchanges messages with. */
export type PeerSelector = {
	/** Group of this VM: its region, or its availability zone in a large region. */
	readonly group: string;
	readonly groupPeers: readonly MemberAddress[];
	/** Groups the members anew; call after the directory changed. */
	refresh(): void;
	groupOf(member: MemberAddress): string;
	distanceOf(name: string): Distance;
	/** A random peer that is this close, preferring those that answer. */
	choose(closeness: Distance, nowMs: number): MemberAddress | undefined;
	/** The peer of the `turn`-th regular exchange: most go to the group, some beyond it. */
	chooseForTurn(turn: number, nowMs: number): MemberAddress | undefined;
};

/**
 * Up to this many entry VMs of a region share everything with each other. Beyond it the availability zones
 * become groups and only their sums leave them, because the entries of a group grow with its size.
 */
const maxFlatRegion = 16;
const turns: readonly Distance[] = [
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
const tries = 3;

// One choice in eight ignores suspicion, so that a VM that came back is found.
const probeOneIn = 8;

/** Creates a selector over a directory. */
export function createPeerSelector(
	self: MemberAddress,
	directory: MemberDirectory,
	random: RandomSource,
): PeerSelector {
	const classes: Record<Distance, MemberAddress[]> = {
		group: [],
		region: [],
		fleet: [],
	};
	const regionSizes = new Map<string, number>();

	const groupOf = (member: MemberAddress) =>
		(regionSizes.get(member.region) ?? 1) > maxFlatRegion
			? member.availabilityZone
			: member.region;

	const closeness = (member: MemberAddress): Distance => {
		if (member.region !== self.region) {
			return 'fleet';
		}

		return groupOf(member) === groupOf(self) ? 'group' : 'region';
	};

	const choose = (wanted: Distance, nowMs: number) => {
		const peers = classes[wanted];
		if (peers.length === 0) {
			return undefined;
		}

		let chosen = peers[random.nextInt(peers.length)];
		if (random.nextInt(probeOneIn) === 0) {
			return chosen;
		}

		for (let attempt = 0; attempt < tries; attempt++) {
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
			return classes.group;
		},
		refresh() {
			regionSizes.clear();
			for (const member of [self, ...directory.members()]) {
				regionSizes.set(
					member.region,
					(regionSizes.get(member.region) ?? 0) + 1,
				);
			}

			classes.group = [];
			classes.region = [];
			classes.fleet = [];
			for (const member of directory.members()) {
				classes[closeness(member)].push(member);
			}
		},
		groupOf,
		distanceOf(name) {
			const member = directory.addressOf(name);
			return member ? closeness(member) : 'fleet';
		},
		choose,
		chooseForTurn(turn, nowMs) {
			return (
				choose(turns[turn % turns.length], nowMs) ??
				choose('group', nowMs) ??
				choose('region', nowMs) ??
				choose('fleet', nowMs)
			);
		},
	};
}
