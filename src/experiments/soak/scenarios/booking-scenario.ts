import {
	type BookingCheck,
	bookingPrefix,
} from '../../../decisions/bookings/index.js';
import type {CallFault} from '../../fakes/index.js';
import {
	type FaultKind,
	type SoakContext,
	SoakScenario,
} from '../soak-scenario.js';
import {BookingFleet} from './booking-fleet.js';
import {
	type BookingPlan,
	bookingPlans,
	type BookingStep,
	bookingVmCount,
} from './booking-plan.js';
import {startTableFault, tableFaultKinds} from './table-faults.js';

const hourMs = 3_600_000;
const retentionMs = hourMs;

// Longer than every timeout and injected delay, so that pending work completes.
const idleWaitMs = 30_000;
const slowClockVm = 2;

const targetFaultKinds: Record<CallFault['kind'], FaultKind> = {
	'answer-lost': 'target-answer-lost',
	'late-effect': 'target-answer-lost',
	refused: 'target-refused',
	slow: 'target-slow',
	hanging: 'target-hanging',
};

/**
 * Callers make and repeat bookings through all entry VMs while processes crash and pause at step
 * boundaries, writes and responses are lost, delayed or duplicated, and expired records are removed.
 */
export class BookingScenario extends SoakScenario<BookingPlan> {
	override readonly name = 'booking';
	override readonly plans = bookingPlans;

	/**
	 * @param omittedChecks - checks left out of the booking code; for tests only
	 * @param checksOmittedFromSettlement - checks left out of the settlement alone; for tests only
	 */
	constructor(
		private readonly omittedChecks?: ReadonlySet<BookingCheck>,
		private readonly checksOmittedFromSettlement?: ReadonlySet<BookingCheck>,
	) {
		super();
	}

	override async execute(
		plan: BookingPlan,
		context: SoakContext,
	): Promise<void> {
		await new BookingRun(
			plan,
			context,
			this.omittedChecks,
			this.checksOmittedFromSettlement,
		).run();
	}
}

class BookingRun {
	private readonly settlementEnabled: boolean;
	private readonly fleet: BookingFleet;
	private readonly keys = new Map<number, string>();

	constructor(
		private readonly plan: BookingPlan,
		private readonly context: SoakContext,
		omittedChecks: ReadonlySet<BookingCheck> | undefined,
		checksOmittedFromSettlement: ReadonlySet<BookingCheck> | undefined,
	) {
		const {time, random, invariants} = context;
		this.settlementEnabled = plan.settles && omittedChecks === undefined;
		this.fleet = new BookingFleet({
			time,
			random,
			invariants,
			vmCount: bookingVmCount,
			answersOutcomes: plan.answersOutcomes,
			retentionMs,
			limits: plan.largeAnswers ? {maxRowAnswerBytes: 0} : {},
			omittedChecks,
			// With an omitted check, the settlement would repair the records that reveal the violation.
			settlementEnabled: this.settlementEnabled,
			checksOmittedFromSettlement,
			onFault(kind) {
				context.countFault(kind === 'crash' ? 'entry-killed' : 'entry-paused');
				context.trace(`injected a ${kind} into the process of an entry VM`);
			},
			trace(line) {
				context.trace(line);
			},
		});
	}

	async run(): Promise<void> {
		const {time} = this.context;
		for (const {afterMs, step} of this.plan.steps) {
			await time.runUntil(time.nowMs() + afterMs);
			this.executeStep(step);
		}

		await this.heal();
		await this.checkSettled();
		await this.repeatAllCalls();
		this.fleet.checker.checkNonePending();
		await this.checkRecords();
		this.fleet.stopSettlements();
		await this.repeatAfterRetention();
	}

	private executeStep(step: BookingStep): void {
		const {context, fleet} = this;
		const {time} = context;
		switch (step.kind) {
			case 'call': {
				context.countBookings();
				fleet.call({...step, key: this.keyOf(step.key)});
				break;
			}

			case 'process': {
				const process = fleet.processOf(step.vm);
				process.planFault({
					atStep: process.steps + step.stepsAhead,
					kind: step.fault,
					pauseMs: step.pauseMs,
				});
				break;
			}

			case 'commit': {
				context.countFault(tableFaultKinds[step.fault]);
				const {fault: kind, delayMs} = step;
				fleet.table.planCommitFault({
					kind,
					delayMs,
					keyPrefix: bookingPrefix,
				});
				break;
			}

			case 'target': {
				context.countFault(targetFaultKinds[step.fault]);
				fleet.target.planFault({kind: step.fault, delayMs: step.delayMs});
				break;
			}

			case 'table': {
				startTableFault(fleet.table, step, context);
				break;
			}

			case 'restart': {
				fleet.restart(step.vm);
				break;
			}

			case 'peers': {
				context.countFault('peers-cut');
				fleet.peersCut = true;
				time.after(step.lengthMs, () => {
					fleet.peersCut = false;
				});
				break;
			}

			case 'objects': {
				context.countFault('objects-down');
				fleet.objects.down = true;
				time.after(step.lengthMs, () => {
					fleet.objects.down = false;
				});
				break;
			}

			case 'corrupt': {
				this.corruptRow(this.keyOf(step.key));
				break;
			}

			case 'sweep': {
				void fleet.sweep(step.vm);
				break;
			}
		}
	}

	/** Booking key for an index of the plan: a UUIDv7 that holds the time of its first use. */
	private keyOf(index: number): string {
		const existing = this.keys.get(index);
		if (existing !== undefined) {
			return existing;
		}

		const time = this.context.time.wallMs().toString(16).padStart(12, '0');
		const key = `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-${String(index).padStart(12, '0')}`;
		this.keys.set(index, key);
		return key;
	}

	private corruptRow(key: string): void {
		const row = this.fleet.table
			.peekAll(bookingPrefix)
			.find((one) => one.key.endsWith(key));
		if (row) {
			this.context.countFault('row-corrupt');
			this.fleet.checker.recordCorruption(key);
			this.fleet.table.poke(row.key, row.value.slice(1));
		}
	}

	private async heal(): Promise<void> {
		const {time} = this.context;
		this.fleet.table.clearFaults();
		await time.runUntil(time.nowMs() + idleWaitMs);
		this.fleet.heal();
	}

	/** Checks that the settlement alone, without further calls, completes the records of calls that took effect. */
	private async checkSettled(): Promise<void> {
		const {time} = this.context;
		if (!this.settlementEnabled || !this.plan.answersOutcomes) {
			return;
		}

		await time.runUntil(time.nowMs() + idleWaitMs);
		const rows = this.fleet.table.peekAll(bookingPrefix);
		this.fleet.checker.checkSettled(rows);
	}

	/** Repeats the call of each key through each VM after all faults have ended. */
	private async repeatAllCalls(): Promise<void> {
		const {time} = this.context;
		for (const key of this.keys.values()) {
			for (let index = 0; index < bookingVmCount; index++) {
				this.context.countBookings();
				this.fleet.call({vm: index, key, variant: 0, timeoutMs: 2000});
			}
		}

		await time.runUntil(time.nowMs() + idleWaitMs);
	}

	private async checkRecords(): Promise<void> {
		const {time} = this.context;
		const checked = this.fleet.checkRecords();
		await time.runUntil(time.nowMs() + idleWaitMs);
		await checked;
		for (let index = 0; index < bookingVmCount; index++) {
			this.context.invariants.check(
				'whole-answer',
				this.fleet.openCountOf(index) === 0,
				() => `VM ${index} still holds bookings in memory`,
			);
		}
	}

	/** Removes the expired records and repeats every call through a VM whose clock is behind. */
	private async repeatAfterRetention(): Promise<void> {
		const {time} = this.context;
		await time.runUntil(time.nowMs() + 4 * hourMs);
		void this.fleet.sweep(0);
		// By this clock the keys are within the retention time; by the clocks of the others they have expired.
		this.fleet.clockErrorsMs[slowClockVm] = -3.5 * hourMs;
		await time.runUntil(time.nowMs() + idleWaitMs);
		this.context.countFault('records-removed');
		this.context.countFault('clock-skewed');
		for (const key of this.keys.values()) {
			this.context.countBookings();
			this.fleet.call({vm: slowClockVm, key, variant: 0, timeoutMs: 2000});
		}

		await time.runUntil(time.nowMs() + idleWaitMs);
	}
}
