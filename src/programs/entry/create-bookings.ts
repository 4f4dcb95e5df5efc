import {randomUUID} from 'node:crypto';
import {TrpcBookingPeers} from '../../adapters/peers/index.js';
import {HttpObjectStore} from '../../adapters/standalone-platform/index.js';
import {type Metrics, SystemTimers} from '../../adapters/system/index.js';
import {
	type Clock,
	createInvariantMonitor,
	type Disposable,
	type RandomSource,
	type TableService,
	toProblem,
	type VmList,
} from '../../common/index.js';
import {
	type BookingCoordinator,
	type BookingOptions,
	createBookingCoordinator,
	createBookingRetention,
	createBackgroundSettler,
	assignedAccounts,
} from '../../decisions/bookings/index.js';
import type {EntrySettings} from './settings.js';
import type {TargetsRegistry} from './targets-registry.js';

/** What bookings need from the daemon. */
export type BookingsOptions = {
	readonly settings: EntrySettings;
	readonly table: TableService;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly processRunId: string;
	/** Address and port of the peer server. */
	readonly peerAddress: () => string;
	readonly registry: TargetsRegistry;
	readonly metrics: Metrics;
	readonly vmList: VmList;
	readonly isTableReachable: () => boolean;
};

/** The daemon's bookings with the removal of their old records. */
export type Bookings = Disposable & {readonly coordinator: BookingCoordinator};

const sweepPeriodMs = 600_000;
const maxRowsPerSweep = 5000;
const secondsPerMinute = 60;

/** Wires bookings together. */
export function createBookings(options: BookingsOptions): Bookings {
	const {settings, table, clock, random, registry, metrics} = options;
	const timers = new SystemTimers();
	const objects = new HttpObjectStore({
		url: settings.platformUrl,
		timeoutMs: settings.tableTimeoutMs,
	});
	const invariants = createInvariantMonitor();
	invariants.onViolation(({name}) => {
		metrics.count('violations', {name});
	});
	const bookingOptions: BookingOptions = {
		table,
		objects,
		peers: new TrpcBookingPeers({
			token: settings.peerToken,
			networkAllowanceMs: settings.tableTimeoutMs,
		}),
		clock,
		timers,
		random,
		incarnation: options.processRunId,
		ownerAddress: options.peerAddress,
		createAttemptId: () => randomUUID(),
		chooseTarget: (service) => registry.chooseTarget(service),
		findTarget: (targetId) => registry.findService(targetId),
		limits: settings.bookingLimits,
		invariants,
		count(name) {
			metrics.count('bookings', {event: name});
		},
	};
	const coordinator = createBookingCoordinator(bookingOptions);
	const settlement = createBackgroundSettler({
		bookings: bookingOptions,
		async accounts() {
			const {vms} = await options.vmList.read();
			return assignedAccounts(
				[...settings.accountTokens.keys()],
				vms,
				settings.vmInstanceId,
			);
		},
		isTableReachable: options.isTableReachable,
		readsPerSecond: settings.bookingSettleReadsPerMinute / secondsPerMinute,
		settleAfterMs: settings.bookingSettleAfterMs,
		onProblem(problem) {
			metrics.count('booking_settlement_errors', {type: problem.type});
		},
	});
	settlement.start();
	const retention = createBookingRetention({
		table,
		objects,
		clock,
		retentionMs: settings.bookingRetentionMs,
		maxRowsPerSweep,
	});
	const sweep = async (): Promise<void> => {
		try {
			const removed = await retention.sweep();
			metrics.count('booking_records_removed', {}, removed);
		} catch (error) {
			metrics.count('booking_sweep_errors', {type: toProblem(error).type});
		}
	};

	// VMs start their sweeps at different times, so that they do not all read the same rows.
	let timer = timers.after(random.nextUnit() * sweepPeriodMs, function again() {
		void sweep();
		timer = timers.after(sweepPeriodMs, again);
	});
	return {
		coordinator,
		dispose() {
			timer.dispose();
			settlement.dispose();
		},
	};
}
