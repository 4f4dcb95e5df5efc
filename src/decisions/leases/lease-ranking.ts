import type {TargetDescription, VmEntry} from '../../common/index.js';

const fnvOffsetBasis = 2_166_136_261;
const fnvPrime = 16_777_619;

/** Hash of a text that is the same in every process: FNV-1a with a final mix, 32 bits. */
export function stableHash(text: string): number {
	let hash = fnvOffsetBasis;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, fnvPrime);
	}

	// In FNV-1a the last characters hardly affect the high bits, which decide the order of scores.
	// eslint-disable-next-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 15), 0x2c_1b_3c_6d);
	// eslint-disable-next-line no-bitwise
	return (hash ^ (hash >>> 13)) >>> 0;
}

/** Ranks of one VM among the candidates for the leases of targets. */
export type LeaseRanking = {
	/**
	 * Returns the rank of this VM for a target's lease, 0 for the first candidate.
	 * @returns undefined if the VM is not a candidate
	 */
	rankFor(target: TargetDescription): number | undefined;
};

/**
 * Distributes the leases over the live entry VMs by rendezvous hashing. Only the VMs
 * with the highest scores are candidates and watch the row of a target, so that the reads for each target do not grow with the fleet. VMs outside
 * the region of the target are candidates only if no live entry VM is in that region, since another
 * region may be cut off from the target.
 * @param vms - the VM list
 * @param vmInstanceId - instance of this VM
 * @param candidateCount - number of candidates for each target
 */
export function createLeaseRanking(
	vms: readonly VmEntry[],
	vmInstanceId: string,
	candidateCount: number,
): LeaseRanking {
	const entries = vms.filter(
		(vm) => vm.role === 'entry' && vm.state === 'live',
	);
	const own = entries.find((vm) => vm.instanceId === vmInstanceId);
	const regionOfZone = new Map(
		vms.map((vm) => [vm.availabilityZone, vm.region]),
	);
	const regions = new Set(entries.map((vm) => vm.region));

	return {
		rankFor(target) {
			if (!own) {
				return undefined;
			}

			const region = regionOfZone.get(target.availabilityZone);
			const hasLocalVms = region !== undefined && regions.has(region);
			if (hasLocalVms && own.region !== region) {
				return undefined;
			}

			const score = (vm: VmEntry) =>
				stableHash(`${target.id} ${vm.instanceId}`);
			const ownScore = score(own);
			let rank = 0;
			for (const vm of entries) {
				const competes = !hasLocalVms || vm.region === region;
				if (competes && vm !== own && score(vm) > ownScore) {
					rank++;
				}
			}

			return rank < candidateCount ? rank : undefined;
		},
	};
}
