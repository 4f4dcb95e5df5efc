import {
	type LoadReport,
	ProblemError,
	type TargetDescription,
	type TargetOrder,
} from '../../common/index.js';
import type {VirtualTime} from './virtual-time.js';

/** Network fault that hits one send of an order. */
export type OrderFault = {
	/**
	 * `delayed`: the sender's call times out, and the order arrives after `delayMs`; `lost`: the call
	 * times out, and the order never arrives; `answer-lost`: the order arrives in time, but its
	 * response is lost, so that the call times out; `duplicated`: the order arrives in time and again
	 * `delayMs` later.
	 */
	readonly kind: 'delayed' | 'lost' | 'answer-lost' | 'duplicated';
	/** Delay of the late or second arrival, in milliseconds. */
	readonly delayMs: number;
};

/** One arrival of an order at a target. */
export type OrderArrival = {
	readonly order: TargetOrder;
	/** Incarnation of the process that sent the order. */
	readonly sender: string;
	/** Virtual time of the send, in milliseconds; for a second arrival the time of the first. */
	readonly sentMs: number;
	/** True for the second arrival of one send. */
	readonly isDuplicate: boolean;
	/** False if the target rejected the fencing number. */
	readonly accepted: boolean;
	/** True if the order changed which models the target has loaded. */
	readonly changed: boolean;
};

export type FakeOrderTargetOptions = {
	readonly description: TargetDescription;
	readonly initialModels: readonly string[];
	/** Round-trip time of a call, in milliseconds. */
	readonly latencyMs: number;
	/** Time after which a call without a response fails, in milliseconds. */
	readonly timeoutMs: number;
	/** Age of the state in the next load report, in milliseconds. */
	readonly reportLagMs: () => number;
	/** Whether orders with a lower fencing number than an accepted one are rejected. */
	readonly checksFencingNumbers: boolean;
	readonly onSend: (order: TargetOrder, sender: string) => void;
	readonly onArrival: (arrival: OrderArrival) => void;
};

/** Target that receives orders over a network with planned faults and reports its models with a lag. */
export class FakeOrderTarget {
	readonly description: TargetDescription;
	readonly models: Set<string>;
	leaving = false;
	private highestFencingNumber = 0;
	private readonly faults: OrderFault[] = [];
	private history: Array<{atMs: number; models: readonly string[]}>;
	private lastReportedMs = 0;

	constructor(
		private readonly time: VirtualTime,
		private readonly options: FakeOrderTargetOptions,
	) {
		this.description = options.description;
		this.models = new Set(options.initialModels);
		this.history = [{atMs: 0, models: options.initialModels}];
	}

	/** Plans a fault; each send of an order takes the oldest one that is left. */
	planFault(fault: OrderFault): void {
		this.faults.push(fault);
	}

	/** Removes the planned faults that no send has taken. */
	clearFaults(): void {
		this.faults.length = 0;
	}

	/**
	 * Returns the client through which one process calls this target.
	 * @param sender - incarnation of the process
	 */
	clientFor(sender: string) {
		return {
			order: async (order: TargetOrder) => this.order(order, sender),
			loadReport: async () => this.loadReport(),
		};
	}

	private async order(order: TargetOrder, sender: string): Promise<void> {
		const fault = this.faults.shift();
		const {latencyMs, timeoutMs} = this.options;
		const sentMs = this.time.nowMs();
		this.options.onSend(order, sender);
		if (fault?.kind === 'delayed' || fault?.kind === 'lost') {
			if (fault.kind === 'delayed') {
				this.arriveAfter(fault.delayMs, order, sender, false);
			}

			await this.time.sleep(timeoutMs);
			throw new ProblemError('target-unavailable', 'the call timed out');
		}

		await this.time.sleep(latencyMs / 2);
		const accepted = this.arrive(order, sender, sentMs, false);
		if (fault?.kind === 'duplicated') {
			this.arriveAfter(fault.delayMs, order, sender, true);
		}

		if (fault?.kind === 'answer-lost') {
			await this.time.sleep(timeoutMs);
			throw new ProblemError('target-unavailable', 'the call timed out');
		}

		await this.time.sleep(latencyMs / 2);
		if (!accepted) {
			throw new ProblemError(
				'order-rejected',
				'the fencing number is lower than one accepted before',
			);
		}
	}

	private arriveAfter(
		delayMs: number,
		order: TargetOrder,
		sender: string,
		isDuplicate: boolean,
	): void {
		const sentMs = this.time.nowMs();
		this.time.after(delayMs, () => {
			this.arrive(order, sender, sentMs, isDuplicate);
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
			order.fencingNumber >= this.highestFencingNumber;
		const isLoaded = this.models.has(order.name);
		const changed = accepted && isLoaded !== (order.kind === 'load-model');
		if (accepted) {
			this.highestFencingNumber = Math.max(
				this.highestFencingNumber,
				order.fencingNumber,
			);
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
		// The reported state never goes back in time, as the sequence of reports only grows.
		this.lastReportedMs = Math.max(
			this.lastReportedMs,
			nowMs - this.options.reportLagMs(),
		);
		const index = this.history.findLastIndex(
			({atMs}) => atMs <= this.lastReportedMs,
		);
		this.history = this.history.slice(Math.max(0, index));
		const reportedMs = this.lastReportedMs;
		const {models} = this.history[0];
		await this.time.sleep(latencyMs / 2);
		return {
			sequence: Math.floor(reportedMs),
			ageMs: this.time.nowMs() - reportedMs,
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
