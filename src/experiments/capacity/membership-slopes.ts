import {type LoopbackFigures, measureLoopback} from './loopback-membership.js';
import {measureMemory, type MemoryFigures} from './membership-memory.js';
import {
	type SimulatedFigures,
	simulateMembership,
} from './simulated-membership.js';

/** Cost of membership and shared state. */
export type MembershipSlopes = {
	/** Bytes and messages of simulated fleets in virtual time, by number of members. */
	readonly simulated: readonly SimulatedFigures[];
	/** Bytes with HTTP headers and processor time over tRPC, by number of members. */
	readonly loopback: readonly LoopbackFigures[];
	readonly memory: MemoryFigures;
};

/** Sizes of the simulated fleets, from the present size up to the design scale. */
const simulatedFleets = [
	{members: 8, regions: 1, zonesPerRegion: 4},
	{members: 32, regions: 2, zonesPerRegion: 4},
	{members: 100, regions: 3, zonesPerRegion: 4},
	{members: 320, regions: 7, zonesPerRegion: 4},
];
const loopbackMembers = [8, 16, 32];
const loopbackMs = 10_000;
const accounts = 510;
const targetsPerRegion = 257;
const measuredSeconds = 30;

/**
 * Measures the cost of membership in simulated fleets, over loopback and in memory.
 * @param seed - seed of the simulated fleets
 */
export async function measureMembershipSlopes(
	seed: number,
): Promise<MembershipSlopes> {
	const memory = measureMemory();
	const loopback: LoopbackFigures[] = [];
	for (const members of loopbackMembers) {
		loopback.push(await measureLoopback(members, loopbackMs));
	}

	const simulated: SimulatedFigures[] = [];
	for (const fleet of simulatedFleets) {
		simulated.push(
			await simulateMembership({
				...fleet,
				accounts,
				targetsPerRegion,
				seed,
				measuredSeconds,
			}),
		);
	}

	return {simulated, loopback, memory};
}
