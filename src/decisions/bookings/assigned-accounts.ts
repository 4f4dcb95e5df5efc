import type {VmEntry} from '../../common/index.js';
import {stableHash} from '../leases/index.js';

/**
 * Chooses this VM's part of the client accounts by rendezvous hashing over the live entry VMs. VMs
 * with different lists may choose the same account or leave one out until the lists agree.
 * @param accounts - all client accounts
 * @param vms - the VM list
 * @param vmInstanceId - this VM
 * @returns the accounts whose highest score is this VM's; none if the VM is not listed as live
 */
export function assignedAccounts(
	accounts: readonly string[],
	vms: readonly VmEntry[],
	vmInstanceId: string,
): readonly string[] {
	const ids = vms
		.filter((vm) => vm.role === 'entry' && vm.state === 'live')
		.map((vm) => vm.instanceId);
	if (!ids.includes(vmInstanceId)) {
		return [];
	}

	return accounts.filter((account) => {
		const ownScore = stableHash(`${account} ${vmInstanceId}`);
		return ids.every((id) => stableHash(`${account} ${id}`) <= ownScore);
	});
}
