import type {VmListSnapshot} from './types.js';

/** Client of the platform's list of live and leaving VMs, which may be out of date. Failures are `vm-list-unavailable`. */
export abstract class VmList {
	abstract read(): Promise<VmListSnapshot>;
}
