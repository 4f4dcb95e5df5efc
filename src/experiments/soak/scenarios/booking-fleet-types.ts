import type {
	Clock,
	InvariantMonitor,
	RandomSource,
} from '../../../common/index.js';
import type {
	BookingCheck,
	BookingCoordinator,
	BookingLimits,
} from '../../../decisions/bookings/index.js';
import type {FakeProcess, VirtualTime} from '../../fakes/index.js';

/** Options of a simulated fleet that handles bookings. */
export type BookingFleetOptions = {
	readonly time: VirtualTime;
	readonly random: RandomSource;
	readonly invariants: InvariantMonitor;
	readonly vmCount: number;
	/** Whether the target can be queried for the outcome of a call. */
	readonly answersOutcomes: boolean;
	/** Time for which records are kept, one day if absent. */
	readonly retentionMs?: number;
	readonly limits?: Partial<BookingLimits>;
	/** Checks left out of the booking code; for tests only. */
	readonly omittedChecks?: ReadonlySet<BookingCheck>;
	/** Whether VMs settle unfinished records in the background. */
	readonly settlementEnabled?: boolean;
	/** Checks left out of the settlement instead of `omittedChecks`; for tests only. */
	readonly checksOmittedFromSettlement?: ReadonlySet<BookingCheck>;
	/** Whether the table and the target respond with a delay, true if absent. */
	readonly hasLatency?: boolean;
	/** Wraps the systems that a VM calls, so that the creator of the fleet decides when each call proceeds. */
	readonly intercept?: <T extends object>(vm: number, system: T) => T;
	/** Called when the process of a VM crashes or pauses. */
	readonly onFault?: (kind: 'crash' | 'pause') => void;
	/** Receives a line for each event of a request. */
	readonly trace?: (line: string) => void;
};

/** One simulated entry VM. */
export type BookingVm = {
	readonly process: FakeProcess;
	/** Identifies this incarnation of the VM as the owner of records. */
	readonly owner: string;
	readonly address: string;
	readonly coordinator: BookingCoordinator;
	/** Clock of the VM, whose wall clock may be off. */
	readonly clock: Clock;
};

/** A call that a simulated caller makes through a VM. */
export type SimulatedCall = {
	/** Index of the VM. */
	readonly vm: number;
	readonly key: string;
	/** Selects the body that the caller sends; another variant reuses the key for another body. */
	readonly variant: number;
	readonly timeoutMs: number;
};
