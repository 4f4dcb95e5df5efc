import {
	type Clock,
	ProblemError,
	type ServiceResponse,
	type ServiceCall,
	toProblem,
} from '../../../common/index.js';
import {
	type BookingOptions,
	BookingPeers,
	type BookingStatusRequest,
	type BackgroundSettler,
	type BookingStatus,
	checkBookingKey,
	createBookingCoordinator,
	createBookingRetention,
	createBackgroundSettler,
	defaultBookingLimits,
} from '../../../decisions/bookings/index.js';
import {
	FakeObjectStore,
	FakePlainService,
	FakeProcess,
	FakeTableService,
} from '../../fakes/index.js';
import type {
	BookingFleetOptions,
	SimulatedCall,
	BookingVm,
} from './booking-fleet-types.js';
import {BookingChecker} from './booking-checker.js';

// Allowance for the network beyond the time for which a peer may wait, and the time after which an
// unreachable peer is noticed.
const peerTimeoutMarginMs = 200;
const peerLatencyMs = 1;
const account = 'finishers';
const service = 'kiln';
const dayMs = 86_400_000;

// Often enough that settlements race with the writes of the owners of records.
const settleReadsPerSecond = 4;
const settleAfterMs = 100;

/** A simulated fleet of entry VMs with the table service, the object store and the target that they use. */
export class BookingFleet {
	readonly table: FakeTableService;
	readonly objects: FakeObjectStore;
	readonly target: FakePlainService;
	readonly checker: BookingChecker;
	/** While true, entry VMs cannot reach each other. */
	peersCut = false;
	/** Offset of each VM's wall clock from the true time, in milliseconds. */
	readonly clockErrorsMs: number[] = [];
	private readonly settlements: BackgroundSettler[] = [];
	private readonly vms: BookingVm[] = [];
	private incarnationCount = 0;
	private requestCount = 0;
	private attemptCount = 0;

	constructor(private readonly options: BookingFleetOptions) {
		const {time, hasLatency = true} = options;
		this.table = new FakeTableService(time, {
			latencyMs: hasLatency ? 6 : 0,
			timeoutMs: 150,
			onWrite: (key, before, after) => {
				this.checker.checkRowWrite(key, before, after);
			},
		});
		this.objects = new FakeObjectStore(time, 5);
		this.target = new FakePlainService(time, {
			id: 'kiln-1',
			service,
			latencyMs: hasLatency ? 30 : 0,
			answersOutcomes: options.answersOutcomes,
			onEffect: (call) => {
				this.checker.recordEffect(call.idempotencyKey!, call.body);
			},
		});
		this.checker = new BookingChecker(options.invariants, options.trace);
		for (let vm = 0; vm < options.vmCount; vm++) {
			this.vms.push(this.startVm(vm));
		}
	}

	/** Replaces a crashed VM by a new process at the same address. */
	restart(vm: number): void {
		if (this.vms[vm].process.state === 'crashed') {
			this.vms[vm] = this.startVm(vm);
		}
	}

	processOf(vm: number): FakeProcess {
		return this.vms[vm].process;
	}

	/** Number of bookings that a VM holds in memory; 0 after a crash. */
	openCountOf(vm: number): number {
		const {process, coordinator} = this.vms[vm];
		return process.state === 'crashed' ? 0 : coordinator.openCount;
	}

	/** Cancels the planned faults, ends the outages and replaces crashed VMs; paused VMs stay paused. */
	heal(): void {
		this.table.clearFaults();
		this.peersCut = false;
		this.objects.down = false;
		for (const [vm, {process}] of this.vms.entries()) {
			process.clearFaults();
			this.restart(vm);
		}
	}

	/** Makes a call through a VM; does nothing if the VM has crashed. */
	call(call: SimulatedCall): void {
		const vm = this.vms[call.vm];
		if (vm.process.state === 'crashed') {
			return;
		}

		const id = `${call.variant}:request-${this.requestCount++}`;
		this.checker.recordRequest(
			id,
			call.key,
			() => vm.process.state === 'crashed',
		);
		void this.executeCall(vm, id, call);
	}

	/**
	 * Removes expired records through a VM.
	 * @returns number of removed records, 0 if the sweep failed
	 */
	async sweep(vm: number): Promise<number> {
		const {process, clock} = this.vms[vm];
		const retention = createBookingRetention({
			table: process.wrap(this.table),
			objects: process.wrap(this.objects),
			clock,
			retentionMs: this.retentionMs,
			maxRowsPerSweep: 1000,
		});
		try {
			return await retention.sweep();
		} catch {
			return 0;
		}
	}

	/** Compares the records with the effects at the target and the delivered responses. */
	async checkRecords(): Promise<void> {
		const rows = this.table.peekAll('booking/');
		await this.checker.checkRecords(rows, async (name) =>
			this.objects.get(name),
		);
	}

	/** Stops the settlements, which would otherwise keep reading through hours of virtual time. */
	stopSettlements(): void {
		for (const settlement of this.settlements.splice(0)) {
			settlement.dispose();
		}
	}

	private get retentionMs(): number {
		return this.options.retentionMs ?? dayMs;
	}

	private async executeCall(
		vm: BookingVm,
		id: string,
		call: SimulatedCall,
	): Promise<void> {
		let response: ServiceResponse;
		try {
			response = await vm.process.run(async () => {
				checkBookingKey(call.key, vm.clock.wallMs(), this.retentionMs);
				return vm.coordinator.run({
					account,
					key: call.key,
					bodyHash: `hash-${call.variant}`,
					service,
					request: createRequest(id),
					timeoutMs: call.timeoutMs,
				});
			});
		} catch (error) {
			this.checker.recordProblem(id, toProblem(error));
			return;
		}

		this.checker.recordResponse(id, response);
	}

	private startVm(vm: number): BookingVm {
		const {time, random, invariants} = this.options;
		const process = new FakeProcess(time, this.options.onFault);
		const incarnation = `vm-${vm}-run-${this.incarnationCount++}`;
		const address = `vm-${vm}`;
		const clock: Clock = {
			nowMs: () => time.nowMs(),
			wallMs: () => time.wallMs() + (this.clockErrorsMs[vm] ?? 0),
		};
		const intercepted = <T extends object>(system: T): T =>
			process.wrap(this.options.intercept?.(vm, system) ?? system);
		const target = intercepted(this.target);
		const bookings: BookingOptions = {
			table: intercepted(this.table),
			objects: intercepted(this.objects),
			peers: intercepted(new SimulatedPeers(this.requestPeerStatus)),
			clock,
			timers: process,
			random,
			incarnation,
			ownerAddress: () => address,
			createAttemptId: () => `attempt-${this.attemptCount++}`,
			chooseTarget: () => target,
			findTarget: () => target,
			limits: {
				...defaultBookingLimits,
				commitSpacingMs: 5,
				claimTimeoutMs: 600,
				recordWaitMs: 300,
				targetTimeoutMs: 5000,
				maxBackoffMs: 1000,
				...this.options.limits,
			},
			invariants,
			count: () => undefined,
			omittedChecks: this.options.omittedChecks,
		};
		const coordinator = createBookingCoordinator(bookings);
		if (this.options.settlementEnabled) {
			this.startSettlement(bookings);
		}

		return {process, owner: incarnation, address, coordinator, clock};
	}

	/** Starts a settlement that scans all accounts, so that the settlements of the VMs overlap. */
	private startSettlement(bookings: BookingOptions): void {
		const settlement = createBackgroundSettler({
			bookings: {
				...bookings,
				omittedChecks: this.options.checksOmittedFromSettlement,
			},
			accounts: async () => [account],
			isTableReachable: () => true,
			readsPerSecond: settleReadsPerSecond,
			settleAfterMs,
			onProblem: () => undefined,
		});
		settlement.start();
		this.settlements.push(settlement);
	}

	private readonly requestPeerStatus = async (
		address: string,
		request: BookingStatusRequest,
	): Promise<BookingStatus> => {
		const {time} = this.options;
		const timeoutMs = request.waitMs + peerTimeoutMarginMs;
		const vm = this.vms.find((one) => one.address === address);
		await time.sleep(peerLatencyMs);
		if (this.peersCut || !vm || vm.process.state === 'crashed') {
			await time.sleep(peerTimeoutMarginMs);
			throw new ProblemError('peer-unavailable', 'the peer is unreachable');
		}

		const status = vm.process.run(async () => vm.coordinator.status(request));
		const timeout = async () => {
			await time.sleep(timeoutMs);
			throw new ProblemError('peer-unavailable', 'the peer timed out');
		};

		return Promise.race([status, timeout()]);
	};
}

class SimulatedPeers extends BookingPeers {
	constructor(
		override readonly requestStatus: (
			address: string,
			request: BookingStatusRequest,
		) => Promise<BookingStatus>,
	) {
		super();
	}
}

function createRequest(
	id: string,
): Pick<ServiceCall, 'method' | 'path' | 'body' | 'contentType'> {
	return {
		method: 'POST',
		path: '/bookings',
		body: id,
		contentType: 'text/plain',
	};
}
