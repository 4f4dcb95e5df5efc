import type {Disruption} from '../observations.js';

/** True for faults that leave a VM's links to the targets and the other VMs as they are. */
export const leavesVmInTouch = ({kind}: Disruption): boolean =>
	kind === 'vm-reload' ||
	kind === 'target-crash' ||
	['caller-', 'store-', 'service-'].some((prefix) => kind.startsWith(prefix));
