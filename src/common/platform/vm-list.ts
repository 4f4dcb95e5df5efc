import type {VmListSnapshot} from './types.js';

/** The platform's list of live and leaving VMs. It lags. Failures are `vm-list-unavailable`. */
export abstract class VmList {
	abstract read(): Promise<VmListSnapshot>;
}
