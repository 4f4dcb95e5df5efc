import {
	type LoadReport,
	ProblemError,
	type TargetDescription,
	type TargetOrder,
} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** How the network treats the next copy of a command. */
export type OrderFault = {
	/**
	 * `delayed` takes effect late, after the sender got an error; `lost` never arrives;
	 * `answer-lost` takes effect in time; `duplicated` arrives once more later.
	 */
	readonly kind: 'delayed' | 'lost' | 'answer-lost' | 'duplicated';
	/** Delay of the late arrival, in milliseconds. */
	readonly delayMs: number;
};

/** One arrival of a command at a target. */
export type OrderArrival = {
	readonly order: TargetOrder;
	/** Process that sent the copy. */
	readonly sender: string;
	readonly sentMs: number;
	/** True for the second arrival of one copy. */
	readonly isDuplicate: boolean;
	/** False if the target refused the number. */
	readonly accepted: boolean;
	/** True if the command changed the models of the target. */
	readonly changed: boolean;
};

/** Options of a fake target for commands. */
export type FakeOrderTargetOptions = {
	readonly description: TargetDescription;
	readonly initialModels: readonly string[];
	/** Time of a call there and back, in milliseconds. */
	readonly latencyMs: number;
	/** Time after which a call without an answer fails, in milliseconds. */
	readonly timeoutMs: number;
	/** Age of the figures of a load report, in milliseconds. */
	readonly reportLagMs: () => number;
	readonly checksFencingNumbers: boolean;
	readonly onSend: (order: TargetOrder, sender: string) => void;
	readonly onArrival: (arrival: OrderArrival) => void;
};

/** Target that takes commands over a network with planned faults and reports its models late. */
export class FakeOrderTarget {
	readonly description: TargetDescription;
	readonly models: Set<string>;
	leaving = false;
	private highestNumber = 0;
	private readonly faults: OrderFault[] = [];
	private history: Array<{atMs: number; models: readonly string[]}>;
	private lastShownMs = 0;

	constructor(
		private readonly time: VirtualTime,
		private readonly options: FakeOrderTargetOptions,
	) {
		this.description = options.description;
		this.models = new Set(options.initialModels);
		this.history = [{atMs: 0, models: options.initialModels}];
	}

	/** Plans how the next copy without a plan is treated. */
	planFault(fault: OrderFault): void {
		this.faults.push(fault);
	}

	clearFaults(): void {
		this.faults.length = 0;
	}

	/** The target as one process reaches it. */
	clientFor(sender: string) {
		return {
			order: async (order: TargetOrder) => this.order(order, sender),
			loadReport: async () => this.loadReport(),
		};
	}

	private async order(order: TargetOrder, sender: string): Promise<void> {
		const fault = this.faults.shift();
		const {latencyMs, timeoutMs} = this.options;
		const departedMs = this.time.nowMs();
		this.options.onSend(order, sender);
		if (fault?.kind === 'delayed' || fault?.kind === 'lost') {
			if (fault.kind === 'delayed') {
				this.arriveAfter(fault.delayMs, order, sender, false);
			}

			await this.time.sleep(timeoutMs);
			throw new ProblemError('target-unavailable', 'the call timed out');
		}

		await this.time.sleep(latencyMs / 2);
		const accepted = this.arrive(order, sender, departedMs, false);
		if (fault?.kind === 'duplicated') {
			this.arriveAfter(fault.delayMs, order, sender, true);
		}

		if (fault?.kind === 'answer-lost') {
			await this.time.sleep(timeoutMs);
			throw new ProblemError('target-unavailable', 'the call timed out');
		}

		await this.time.sleep(latencyMs / 2);
		if (!accepted) {
			throw new ProblemError('order-rejected', 'old fencing number');
		}
	}

	private arriveAfter(
		delayMs: number,
		order: TargetOrder,
		sender: string,
		repeated: boolean,
	): void {
		const departedMs = this.time.nowMs();
		this.time.after(delayMs, () => {
			this.arrive(order, sender, departedMs, repeated);
		});
	}

	private arrive(
		order: TargetOrder,
		sender: string,
		sentMs: number,
		isDuplicate: boolean,
	): boolean {
		const accepted =
			!this.options.checksFencingNumbers ||
			order.fencingNumber >= this.highestNumber;
		const isLoaded = this.models.has(order.name);
		const changed = accepted && isLoaded !== (order.kind === 'load-model');
		if (accepted) {
			this.highestNumber = Math.max(this.highestNumber, order.fencingNumber);
		}

		if (changed && isLoaded) {
			this.models.delete(order.name);
		} else if (changed) {
			this.models.add(order.name);
		}

		this.history.push({atMs: this.time.nowMs(), models: [...this.models]});
		this.options.onArrival({
			order,
			sender,
			sentMs,
			isDuplicate,
			accepted,
			changed,
		});
		return accepted;
	}

	private async loadReport(): Promise<LoadReport> {
		const {latencyMs} = this.options;
		await this.time.sleep(latencyMs / 2);
		const nowMs = this.time.nowMs();
		// Figures never go back in time, as the sequence of a report only grows.
		this.lastShownMs = Math.max(
			this.lastShownMs,
			nowMs - this.options.reportLagMs(),
		);
		const index = this.history.findLastIndex(
			({atMs}) => atMs <= this.lastShownMs,
		);
		this.history = this.history.slice(Math.max(0, index));
		const shownMs = this.lastShownMs;
		const {models} = this.history[0];
		await this.time.sleep(latencyMs / 2);
		return {
			sequence: Math.floor(shownMs),
			ageMs: this.time.nowMs() - shownMs,
			runningCount: 0,
			waitingCount: 0,
			usedTokens: 0,
			capacityTokens: 1,
			preemptionsTotal: 0,
			models,
			leaving: this.leaving,
		};
	}
}
