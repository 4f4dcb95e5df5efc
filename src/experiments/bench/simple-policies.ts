import type {BenchRequest} from './arrivals.js';
import {RoutingPolicy} from './routing-policy.js';

const equalPriority = 0;

/** A policy that sends every request to an engine at once, as simple routers do. */
abstract class SimplePolicy extends RoutingPolicy {
	protected readonly targetIds = [...this.context.descriptions.keys()];
	private readonly sentTo = new Map<BenchRequest, string>();

	override submit(request: BenchRequest): void {
		const targetId = this.choose(request);
		this.sentTo.set(request, targetId);
		this.counted(request.vmIndex, targetId, 1);
		this.context.send(request, targetId, equalPriority);
	}

	override progressed(): void {
		// Simple routers do not look into streams.
	}

	override ended(request: BenchRequest): void {
		this.counted(request.vmIndex, this.sentTo.get(request)!, -1);
		this.sentTo.delete(request);
	}

	override withdrawn(): void {
		// Nothing waits at the VMs.
	}

	/** A request was sent to an engine or has ended there. */
	protected counted(_vm: number, _targetId: string, _change: 1 | -1): void {
		// Only some policies count.
	}

	protected abstract choose(request: BenchRequest): string;
}

/** Engines in turn, on each VM. */
export class RoundRobinPolicy extends SimplePolicy {
	override readonly name = 'round-robin';
	private readonly next = Array.from(
		{length: this.context.deployment.vmCount},
		() => this.context.random.nextInt(this.targetIds.length),
	);

	protected override choose(request: BenchRequest): string {
		const index = this.next[request.vmIndex]++;
		return this.targetIds[index % this.targetIds.length];
	}
}

/** The engine with the fewest requests outstanding from this VM. */
export class LeastOutstandingPolicy extends SimplePolicy {
	override readonly name = 'least-outstanding';
	private readonly outstanding = Array.from(
		{length: this.context.deployment.vmCount},
		() => new Map<string, number>(),
	);

	protected override choose(request: BenchRequest): string {
		const counts = this.outstanding[request.vmIndex];
		const least = Math.min(...this.targetIds.map((id) => counts.get(id) ?? 0));
		const equal = this.targetIds.filter(
			(id) => (counts.get(id) ?? 0) === least,
		);
		return equal[this.context.random.nextInt(equal.length)];
	}

	protected override counted(
		vm: number,
		targetId: string,
		change: 1 | -1,
	): void {
		const counts = this.outstanding[vm];
		counts.set(targetId, (counts.get(targetId) ?? 0) + change);
	}
}

/** The engine with the lower reported load of two random ones. */
export class PowerOfTwoPolicy extends SimplePolicy {
	override readonly name = 'power-of-two';

	protected override choose(): string {
		const {random} = this.context;
		const count = this.targetIds.length;
		const first = random.nextInt(count);
		const second = (first + 1 + random.nextInt(count - 1)) % count;
		const ids = [this.targetIds[first], this.targetIds[second]];
		return this.loadOf(ids[1]) < this.loadOf(ids[0]) ? ids[1] : ids[0];
	}

	private loadOf(targetId: string): number {
		const report = this.context.report(targetId);
		const count = report.runningCount + report.waitingCount;
		// What waits will take as much memory as what runs does on average.
		const each = report.usedTokens / Math.max(1, report.runningCount);
		return (count * each) / report.capacityTokens;
	}
}
