import {
	createInvariantMonitor,
	type InvariantViolation,
	PlainService,
	ProblemError,
	SeededRandomSource,
	TableService,
} from '../../../common/index.js';
import type {BookingCheck} from '../../../decisions/bookings/index.js';
import {VirtualTime} from '../../fakes/index.js';
import {ChoiceEnumerator} from '../choice-enumerator.js';
import {BookingFleet} from './booking-fleet.js';

/** Faults that an exploration may inject, at most one of each per run. */
export type ExplorationFaults = {
	/** Whether the response of one transaction or of one call to the target may get lost. */
	readonly losesResponse: boolean;
	/** What may happen to the process of one entry VM. */
	readonly processFault: 'crash' | 'pause' | 'none';
};

/** Result of an exploration of two entry VMs that handle the same key. */
export type ExplorationReport = {
	readonly runs: number;
	/** Whether every sequence of messages and faults was run. */
	readonly isComplete: boolean;
	/** Violations found by the last run, which is the first one that had any; empty if none had. */
	readonly violations: readonly InvariantViolation[];
	/** Events of the last run, in order. */
	readonly events: readonly string[];
};

type Message = {
	readonly vm: number;
	readonly name: string;
	readonly isResponse: boolean;
	/** True for the response of a call that has an effect. */
	readonly canBeLost: boolean;
	/** Delivers the message, or makes its call fail if `lost` is true. */
	readonly complete: (lost: boolean) => void;
};

type Choice = {readonly name: string; readonly run: () => Promise<void> | void};

const key = '018bcfe5-6800-7abc-8def-000000000001';
const vmCount = 2;
const callTimeoutMs = 2000;
const idleWaitMs = 20_000;

// Longer than the spacing of transactions, shorter than any timeout, so that each step lets the next
// transaction start without a timeout.
const stepMs = 6;
const idleStepMs = 1000;
const maxIdleSteps = 6;

// Longer than a run, so that paused VMs resume only by a choice or when no choice is left.
const pauseMs = 1_000_000_000;

/** Intercepts the calls of the VMs and holds each request and response until it is delivered. */
class MessageInterceptor {
	/** While true, messages are delivered at once instead of being held. */
	deliversAtOnce = false;
	/** Messages that were sent and not delivered yet. */
	pending: Message[] = [];

	/** Wraps a system that a VM calls, so that its messages are held. */
	readonly intercept = <T extends object>(vm: number, system: T): T => {
		const hasEffect =
			system instanceof TableService || system instanceof PlainService;
		return new Proxy(system, {
			get: (target, name) => {
				const member = Reflect.get(target, name) as unknown;
				return typeof member === 'function'
					? async (...values: unknown[]) =>
							this.interceptCall(
								vm,
								String(name),
								hasEffect && (name === 'commit' || name === 'call'),
								async () =>
									Reflect.apply(member, target, values) as Promise<unknown>,
							)
					: member;
			},
		});
	};

	private async interceptCall(
		vm: number,
		name: string,
		hasEffect: boolean,
		call: () => Promise<unknown>,
	): Promise<unknown> {
		await this.waitForDelivery({vm, name, isResponse: false, canBeLost: false});
		if (!hasEffect) {
			return call();
		}

		const value = await call();
		if (
			await this.waitForDelivery({vm, name, isResponse: true, canBeLost: true})
		) {
			throw new ProblemError(
				name === 'commit' ? 'table-outcome-unknown' : 'outcome-unknown',
				'the response was lost',
			);
		}

		return value;
	}

	/** @returns whether the message was lost */
	private async waitForDelivery(
		message: Omit<Message, 'complete'>,
	): Promise<boolean> {
		if (this.deliversAtOnce) {
			return false;
		}

		return new Promise((resolve) => {
			const pending: Message = {
				...message,
				complete: (lost) => {
					this.pending = this.pending.filter((one) => one !== pending);
					resolve(lost);
				},
			};
			this.pending.push(pending);
		});
	}
}

/** One run: both VMs receive the same call, and the enumerator chooses the order of all messages and faults. */
class ExplorationRun {
	readonly events: string[] = [];
	private readonly time = new VirtualTime();
	private readonly invariants = createInvariantMonitor();
	private readonly interceptor = new MessageInterceptor();
	private readonly fleet: BookingFleet;
	private mayLoseResponse: boolean;
	private mayInjectProcessFault: boolean;
	private idleSteps = 0;

	constructor(
		private readonly enumerator: ChoiceEnumerator,
		private readonly faults: ExplorationFaults,
		omittedChecks: ReadonlySet<BookingCheck> | undefined,
	) {
		this.mayLoseResponse = faults.losesResponse;
		this.mayInjectProcessFault = faults.processFault !== 'none';
		this.fleet = new BookingFleet({
			time: this.time,
			random: new SeededRandomSource(1),
			invariants: this.invariants,
			vmCount,
			answersOutcomes: true,
			hasLatency: false,
			// Allocating large caches would take most of the time of a run.
			limits: {maxRemembered: 4},
			intercept: this.interceptor.intercept,
			omittedChecks,
			trace: (line) => {
				this.events.push(line);
			},
		});
	}

	async run(): Promise<readonly InvariantViolation[]> {
		for (let vm = 0; vm < vmCount; vm++) {
			this.fleet.call({vm, key, variant: 0, timeoutMs: callTimeoutMs});
		}

		while (this.idleSteps < maxIdleSteps) {
			await this.time.runUntil(this.time.nowMs() + stepMs);
			await this.executeNextChoice();
		}

		await this.healAndRepeatCalls();
		return this.invariants.violations;
	}

	private async executeNextChoice(): Promise<void> {
		const choices = this.choices();
		if (choices.length === 0) {
			this.idleSteps++;
			this.resumePausedVms();
			await this.time.runUntil(this.time.nowMs() + idleStepMs);
			return;
		}

		const {name, run} = choices[this.enumerator.choose(choices.length)];
		this.events.push(name);
		await run();
	}

	private choices(): readonly Choice[] {
		// A response to a crashed VM cannot be delivered.
		const pending = this.interceptor.pending.filter(
			({vm, isResponse}) =>
				!isResponse || this.fleet.processOf(vm).state !== 'crashed',
		);
		if (pending.length === 0) {
			return [];
		}

		const deliveries = pending.map((message) =>
			this.createDelivery(message, false),
		);
		const losses = this.mayLoseResponse
			? pending
					.filter((message) => message.canBeLost)
					.map((message) => this.createDelivery(message, true))
			: [];
		const faults = this.mayInjectProcessFault ? this.processFaults() : [];
		return [...deliveries, ...losses, ...faults, ...this.resumptions()];
	}

	private createDelivery(message: Message, lost: boolean): Choice {
		const {vm, name, isResponse} = message;
		return {
			name: `VM ${vm}: ${name} ${isResponse ? 'response' : 'request'} ${lost ? 'is lost' : 'arrives'}`,
			run: () => {
				this.mayLoseResponse &&= !lost;
				message.complete(lost);
			},
		};
	}

	private processFaults(): readonly Choice[] {
		const {processFault} = this.faults;
		return Array.from({length: vmCount}, (_, vm) => ({
			name: `VM ${vm}: ${processFault}`,
			run: () => {
				this.mayInjectProcessFault = false;
				const process = this.fleet.processOf(vm);
				if (processFault === 'crash') {
					process.crash();
				} else {
					process.pause(pauseMs);
				}
			},
		}));
	}

	private resumptions(): readonly Choice[] {
		const choices: Choice[] = [];
		for (let vm = 0; vm < vmCount; vm++) {
			const process = this.fleet.processOf(vm);
			if (process.state === 'paused') {
				choices.push({
					name: `VM ${vm} resumes`,
					run() {
						process.resume();
					},
				});
			}
		}

		return choices;
	}

	private resumePausedVms(): void {
		if (this.idleSteps >= maxIdleSteps / 2) {
			for (const {run} of this.resumptions()) {
				void run();
			}
		}
	}

	/** Delivers all messages, replaces crashed VMs, repeats the call on both VMs and checks the records. */
	private async healAndRepeatCalls(): Promise<void> {
		const {time, fleet} = this;
		this.interceptor.deliversAtOnce = true;
		for (const message of this.interceptor.pending) {
			message.complete(false);
		}

		fleet.heal();
		await time.runUntil(time.nowMs() + idleWaitMs);
		for (let vm = 0; vm < vmCount; vm++) {
			fleet.call({vm, key, variant: 0, timeoutMs: callTimeoutMs});
		}

		await time.runUntil(time.nowMs() + idleWaitMs);
		fleet.checker.checkNonePending();
		const checked = fleet.checkRecords();
		await time.runUntil(time.nowMs() + idleWaitMs);
		await checked;
	}
}

/**
 * Runs every order of the messages of two entry VMs that handle the same key, with at most one crash
 * or pause and at most one lost response. Stops at the first run that violates an invariant.
 * @param omittedChecks - checks left out of the booking code; for tests only
 * @param maxRuns - number of runs after which the exploration ends incomplete
 */
export async function exploreBookings(
	faults: ExplorationFaults,
	omittedChecks?: ReadonlySet<BookingCheck>,
	maxRuns = Number.MAX_SAFE_INTEGER,
): Promise<ExplorationReport> {
	const enumerator = new ChoiceEnumerator();
	for (let runs = 1; ; runs++) {
		const run = new ExplorationRun(enumerator, faults, omittedChecks);
		const violations = await run.run();
		const isComplete = !enumerator.startNextRun();
		if (violations.length > 0 || isComplete || runs >= maxRuns) {
			return {runs, isComplete, violations, events: run.events};
		}
	}
}
