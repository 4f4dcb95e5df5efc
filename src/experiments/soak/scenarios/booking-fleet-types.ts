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
	readonly answersOutcomes: boolean;
	readonly retentionMs?: number;
	readonly limits?: Partial<BookingLimits>;
	readonly omittedChecks?: ReadonlySet<BookingCheck>;
	/** Whether VMs settle old records in the background. */
	readonly settlementEnabled?: boolean;
	/** Checks left out of the settlement alone; for tests only. */
	readonly checksOmittedFromSettlement?: ReadonlySet<BookingCheck>;
	/** False makes the table and the target answer without delay. */
	readonly hasLatency?: boolean;
	/** Wraps what a VM calls, so that the caller decides when each call goes on. */
	readonly intercept?: <T extends object>(vm: number, system: T) => T;
	readonly onFault?: (kind: 'crash' | 'pause') => void;
	readonly trace?: (line: string) => void;
};

/** One simulated entry VM. */
export type BookingVm = {
	readonly process: FakeProcess;
	readonly owner: string;
	readonly address: string;
	readonly coordinator: BookingCoordinator;
	readonly clock: Clock;
};

/** One call of a simulated caller. */
export type SimulatedCall = {
	readonly vm: number;
	readonly key: string;
	/** Which of several bodies the caller sends under the key. */
	readonly variant: number;
	readonly timeoutMs: number;
};
