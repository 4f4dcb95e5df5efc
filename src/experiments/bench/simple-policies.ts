import type {BenchRequest} from './arrivals.js';
import {RoutingPolicy} from './routing-policy.js';

const equalPriority = 0;

/** Base of the policies that send every request to an engine at once. */
abstract class SimplePolicy extends RoutingPolicy {
	protected readonly targetIds = [...this.context.descriptions.keys()];
	private readonly targetIdByRequest = new Map<BenchRequest, string>();

	override submit(request: BenchRequest): void {
		const targetId = this.chooseTarget(request);
		this.targetIdByRequest.set(request, targetId);
		this.recordOutstanding(request.vmIndex, targetId, 1);
		this.context.send(request, targetId, equalPriority);
	}

	override progressed(): void {
		// These policies do not use the progress of streams.
	}

	override ended(request: BenchRequest): void {
		this.recordOutstanding(
			request.vmIndex,
			this.targetIdByRequest.get(request)!,
			-1,
		);
		this.targetIdByRequest.delete(request);
	}

	override withdrawn(): void {
		// No request waits at a VM, since all are sent at once.
	}

	/** Called when a request is sent to an engine (1) or has ended there (-1). */
	protected recordOutstanding(
		_vm: number,
		_targetId: string,
		_change: 1 | -1,
	): void {
		// Overridden by policies that count outstanding requests.
	}

	/** Chooses the engine for a request. */
	protected abstract chooseTarget(request: BenchRequest): string;
}

/** Sends the requests of each VM to the engines in turn, from a random first engine. */
export class RoundRobinPolicy extends SimplePolicy {
	override readonly name = 'round-robin';
	private readonly nextIndexByVm = Array.from(
		{length: this.context.deployment.vmCount},
		() => this.context.random.nextInt(this.targetIds.length),
	);

	protected override chooseTarget(request: BenchRequest): string {
		const index = this.nextIndexByVm[request.vmIndex]++;
		return this.targetIds[index % this.targetIds.length];
	}
}

/** Chooses the engine with the fewest outstanding requests of the same VM, at random among equals. */
export class LeastOutstandingPolicy extends SimplePolicy {
	override readonly name = 'least-outstanding';
	private readonly outstandingByVm = Array.from(
		{length: this.context.deployment.vmCount},
		() => new Map<string, number>(),
	);

	protected override chooseTarget(request: BenchRequest): string {
		const counts = this.outstandingByVm[request.vmIndex];
		const least = Math.min(...this.targetIds.map((id) => counts.get(id) ?? 0));
		const leastLoadedIds = this.targetIds.filter(
			(id) => (counts.get(id) ?? 0) === least,
		);
		return leastLoadedIds[this.context.random.nextInt(leastLoadedIds.length)];
	}

	protected override recordOutstanding(
		vm: number,
		targetId: string,
		change: 1 | -1,
	): void {
		const counts = this.outstandingByVm[vm];
		counts.set(targetId, (counts.get(targetId) ?? 0) + change);
	}
}

/** Chooses the engine with the lower reported load out of two random ones. */
export class PowerOfTwoPolicy extends SimplePolicy {
	override readonly name = 'power-of-two';

	protected override chooseTarget(): string {
		const {random} = this.context;
		const count = this.targetIds.length;
		const first = random.nextInt(count);
		const second = (first + 1 + random.nextInt(count - 1)) % count;
		const ids = [this.targetIds[first], this.targetIds[second]];
		return this.loadOf(ids[1]) < this.loadOf(ids[0]) ? ids[1] : ids[0];
	}

	private loadOf(targetId: string): number {
		const report = this.context.report(targetId);
		const requestCount = report.runningCount + report.waitingCount;
		// Assumes that a waiting request will use as much KV cache as the mean running one.
		const meanTokens = report.usedTokens / Math.max(1, report.runningCount);
		return (requestCount * meanTokens) / report.capacityTokens;
	}
}
