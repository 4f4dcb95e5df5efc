import type {TargetDescription, VmEntry} from '../../common/index.js';

const offsetBasis = 2_166_136_261;
const prime = 16_777_619;

/** Hash of a text, the same in every process (FNV-1a with a final mix). */
export function stableHash(text: string): number {
	let hash = offsetBasis;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, prime);
	}

	// FNV-1a spreads the last characters badly over the high bits, which decide the order.
	// eslint-disable-next-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 15), 0x2c_1b_3c_6d);
	// eslint-disable-next-line no-bitwise
	return (hash ^ (hash >>> 13)) >>> 0;
}

/** Places of one VM among the candidates for each target's lease. */
export type LeaseRanking = {
	/**
	 * Rank of this VM for a target, 0 for the first candidate.
	 * @returns undefined if the VM is no candidate
	 */
	rankFor(target: TargetDescription): number | undefined;
};

/**
 * Spreads the leases over the entry VMs by rendezvous hashing. Only the first few candidates of a
 * target watch its row, so that the reads for each target do not grow with the fleet. VMs in the
 * region of the target come first, since a VM in another region may be cut off from the target.
 * @param vms - the VM list
 * @param vmInstanceId - this VM
 * @param candidateCount - candidates for each target
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
			const isLocal = region !== undefined && regions.has(region);
			if (isLocal && own.region !== region) {
				return undefined;
			}

			const score = (vm: VmEntry) =>
				stableHash(`${target.id} ${vm.instanceId}`);
			const ownScore = score(own);
			let rank = 0;
			for (const vm of entries) {
				const competes = !isLocal || vm.region === region;
				if (competes && vm !== own && score(vm) > ownScore) {
					rank++;
				}
			}

			return rank < candidateCount ? rank : undefined;
		},
	};
}
