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

/** Faults that an exploration may place, at most one of each. */
export type ExplorationFaults = {
	/** The answer of a transaction or of the target gets lost. */
	readonly losesResponse: boolean;
	/** An entry VM crashes or pauses. */
	readonly processFault: 'crash' | 'pause' | 'none';
};

/** What an exploration of two entry VMs with one key saw. */
export type ExplorationReport = {
	readonly runs: number;
	/** Whether every sequence was run. */
	readonly isComplete: boolean;
	/** Violations of the first run that had any. */
	readonly violations: readonly InvariantViolation[];
	/** Events of that run, in order. */
	readonly events: readonly string[];
};

type Message = {
	readonly vm: number;
	readonly name: string;
	readonly isResponse: boolean;
	/** Whether the answer of a call with an effect may get lost. */
	readonly canBeLost: boolean;
	readonly deliver: (lost: boolean) => void;
};

type Choice = {readonly name: string; readonly run: () => Promise<void> | void};

const key = '018bcfe5-6800-7abc-8def-000000000001';
const vmCount = 2;
const callTimeoutMs = 2000;
const settleMs = 20_000;

// Longer than the spacing of transactions, shorter than any timeout.
const tickMs = 6;
const idleMs = 1000;
const maxIdleTicks = 6;
const pauseMs = 1_000_000_000;

/** Messages under way between the VMs and what they call. */
class MessageInterceptor {
	/** While true, every message arrives at once. */
	deliversAtOnce = false;
	pending: Message[] = [];

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
				'the answer got lost',
			);
		}

		return value;
	}

	private async waitForDelivery(
		message: Omit<Message, 'deliver'>,
	): Promise<boolean> {
		if (this.deliversAtOnce) {
			return false;
		}

		return new Promise((resolve) => {
			const pending: Message = {
				...message,
				deliver: (lost) => {
					this.pending = this.pending.filter((one) => one !== pending);
					resolve(lost);
				},
			};
			this.pending.push(pending);
		});
	}
}

/** One run: two VMs get the same call, and the exploration orders every message and fault. */
class ExplorationRun {
	readonly events: string[] = [];
	private readonly time = new VirtualTime();
	private readonly invariants = createInvariantMonitor();
	private readonly interceptor = new MessageInterceptor();
	private readonly fleet: BookingFleet;
	private mayLoseResponse: boolean;
	private mayInjectProcessFault: boolean;
	private idleTicks = 0;

	constructor(
		private readonly exploration: ChoiceEnumerator,
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
			// Large caches would take most of the time of a run.
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

		while (this.idleTicks < maxIdleTicks) {
			await this.time.runUntil(this.time.nowMs() + tickMs);
			await this.executeNextChoice();
		}

		await this.healAndRepeatCalls();
		return this.invariants.violations;
	}

	private async executeNextChoice(): Promise<void> {
		const choices = this.choices();
		if (choices.length === 0) {
			this.idleTicks++;
			this.resumePausedVms();
			await this.time.runUntil(this.time.nowMs() + idleMs);
			return;
		}

		const {name, run} = choices[this.exploration.choose(choices.length)];
		this.events.push(name);
		await run();
	}

	private choices(): readonly Choice[] {
		// An answer to a crashed VM reaches nobody.
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
		const hits = this.mayInjectProcessFault ? this.processFaults() : [];
		return [...deliveries, ...losses, ...hits, ...this.resumptions()];
	}

	private createDelivery(message: Message, lost: boolean): Choice {
		const {vm, name, isResponse} = message;
		return {
			name: `VM ${vm}: ${name} ${isResponse ? 'answer' : 'request'} ${lost ? 'is lost' : 'arrives'}`,
			run: () => {
				this.mayLoseResponse &&= !lost;
				message.deliver(lost);
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
		if (this.idleTicks >= maxIdleTicks / 2) {
			for (const {run} of this.resumptions()) {
				void run();
			}
		}
	}

	/** Every message arrives now, crashed VMs are replaced, and both VMs get the call again. */
	private async healAndRepeatCalls(): Promise<void> {
		const {time, fleet} = this;
		this.interceptor.deliversAtOnce = true;
		for (const message of this.interceptor.pending) {
			message.deliver(false);
		}

		fleet.heal();
		await time.runUntil(time.nowMs() + settleMs);
		for (let vm = 0; vm < vmCount; vm++) {
			fleet.call({vm, key, variant: 0, timeoutMs: callTimeoutMs});
		}

		await time.runUntil(time.nowMs() + settleMs);
		fleet.checker.checkNonePending();
		const checked = fleet.checkRecords();
		await time.runUntil(time.nowMs() + settleMs);
		await checked;
	}
}

/**
 * Runs every order of the messages of two entry VMs that handle the same key, with at most one
 * crash or pause and at most one lost answer, until a run violates an invariant.
 */
export async function exploreBookings(
	faults: ExplorationFaults,
	omittedChecks?: ReadonlySet<BookingCheck>,
	maxRuns = Number.MAX_SAFE_INTEGER,
): Promise<ExplorationReport> {
	const exploration = new ChoiceEnumerator();
	for (let runs = 1; ; runs++) {
		const run = new ExplorationRun(exploration, faults, omittedChecks);
		const violations = await run.run();
		const isComplete = !exploration.startNextRun();
		if (violations.length > 0 || isComplete || runs >= maxRuns) {
			return {runs, isComplete, violations, events: run.events};
		}
	}
}
