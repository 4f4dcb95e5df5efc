import {createAdmissionQueue} from '../../decisions/routing/index.js';
import type {BenchRequest} from './arrivals.js';
import {createExactLedger} from './exact-ledger.js';
import {type PolicyContext, RoutingPolicy} from './routing-policy.js';

type Stream = {
	readonly request: BenchRequest;
	readonly targetId: string;
	producedTokens: number;
	chargedTokens: number;
};

type Waiting = {
	readonly account: string;
	readonly requestClass: string;
	readonly expectedTokens: number;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	readonly request: BenchRequest;
};

const maxQueueLength = 100_000;
const usablePart = 0.985;
const stepMs = 20;
const minuteMs = 60_000;
const tickMs = 25;
const stallThresholdMs = 250;
const unlimited = 1e12;

/** Knows the length of each answer and the true state of each engine, without delay. */
export class OraclePolicy extends RoutingPolicy {
	override readonly name = 'oracle';
	private readonly queue = createAdmissionQueue<Waiting>(maxQueueLength);
	private readonly entries = new Map<BenchRequest, Waiting>();
	private readonly streams = new Map<string, Set<Stream>>();
	private readonly byRequest = new Map<BenchRequest, Stream>();
	private readonly covered = new Map<string, number>();
	private readonly prefillUntilMs = new Map<string, number>();
	private readonly ledger = createExactLedger((account) => ({
		floorTokensPerMinute: this.context.floors.get(account) ?? 0,
		ceilingTokensPerMinute: unlimited,
		shareWeight: 1,
	}));

	constructor(context: PolicyContext) {
		super(context);
		for (const targetId of context.descriptions.keys()) {
			this.streams.set(targetId, new Set());
		}

		context.time.every(tickMs, 0, () => {
			this.serve();
		});
	}

	override submit(request: BenchRequest): void {
		const {time} = this.context;
		const waiting: Waiting = {
			account: request.account,
			requestClass: request.requestClass,
			expectedTokens: request.outputTokens,
			arrivedMs: time.nowMs(),
			deadlineMs: time.nowMs() + request.queueTimeoutMs,
			request,
		};
		this.entries.set(request, waiting);
		this.queue.add(waiting);
		this.serve();
	}

	override progressed(request: BenchRequest, producedTokens: number): void {
		const stream = this.byRequest.get(request);
		if (stream) {
			stream.producedTokens = producedTokens;
			this.charge(stream);
		}
	}

	override ended(request: BenchRequest): void {
		const stream = this.byRequest.get(request);
		if (stream) {
			stream.producedTokens = request.outputTokens;
			this.charge(stream);
			this.byRequest.delete(request);
			this.streams.get(stream.targetId)!.delete(stream);
			this.serve();
		}
	}

	override withdrawn(request: BenchRequest): void {
		const waiting = this.entries.get(request);
		if (waiting) {
			this.queue.remove(waiting);
			this.entries.delete(request);
		}
	}

	private charge(stream: Stream): void {
		const tokens = stream.producedTokens - stream.chargedTokens;
		stream.chargedTokens = stream.producedTokens;
		const {account} = stream.request;
		this.ledger.charge(
			{account, estimatedTokens: 0},
			tokens,
			this.context.time.wallMs(),
		);
	}

	private serve(): void {
		if (this.queue.length === 0) {
			return;
		}

		this.countCovered();
		this.queue.serve(
			this.context.time.nowMs(),
			(account) => ({
				hasFloorPriority: this.isEntitled(account),
				shareWeight: 1,
			}),
			({request}) => this.place(request),
		);
	}

	/** Tokens that each account's streams will produce in the next minute. */
	private countCovered(): void {
		this.covered.clear();
		for (const {request, producedTokens} of this.byRequest.values()) {
			const left = request.outputTokens - producedTokens;
			const tokens = Math.min(left, minuteMs / stepMs);
			const sum = this.covered.get(request.account) ?? 0;
			this.covered.set(request.account, sum + tokens);
		}
	}

	private isEntitled(account: string): boolean {
		const floor = this.context.floors.get(account) ?? 0;
		const wallMs = this.context.time.wallMs();
		const covered = this.covered.get(account) ?? 0;
		const minuteLeft = 1 - (wallMs % minuteMs) / minuteMs;
		const {floorTokensLeft} = this.ledger.quotaStatus(account, wallMs);
		return floorTokensLeft > covered * minuteLeft || floor > covered;
	}

	private place(request: BenchRequest): boolean {
		const {deployment, time, engineSimulations} = this.context;
		const nowMs = time.nowMs();
		let best: string | undefined;
		let lowest = Infinity;
		for (const [targetId, streams] of this.streams) {
			const part = this.peakTokens(streams, request);
			if (part > deployment.engine.capacityTokens * usablePart) {
				continue;
			}

			const model = engineSimulations.get(targetId)!;
			const computed =
				request.promptTokens - model.cachedTokens(request.prefixHashes);
			const prefillMs = computed * deployment.engine.prefillPerTokenMs;
			const busyMs = Math.max(
				0,
				(this.prefillUntilMs.get(targetId) ?? 0) - nowMs,
			);
			const gapMs = busyMs + prefillMs + stepMs;
			const stallMs = streams.size * Math.max(0, gapMs - stallThresholdMs);
			const cost =
				stallMs +
				gapMs +
				(part / deployment.engine.capacityTokens) * stallThresholdMs;
			if (cost < lowest) {
				lowest = cost;
				best = targetId;
			}
		}

		if (best === undefined) {
			return false;
		}

		const stream = {
			request,
			targetId: best,
			producedTokens: 0,
			chargedTokens: 0,
		};
		const cached = engineSimulations
			.get(best)!
			.cachedTokens(request.prefixHashes);
		this.prefillUntilMs.set(
			best,
			Math.max(nowMs, this.prefillUntilMs.get(best) ?? 0) +
				(request.promptTokens - cached) * deployment.engine.prefillPerTokenMs,
		);
		this.entries.delete(request);
		this.byRequest.set(request, stream);
		this.streams.get(best)!.add(stream);
		this.context.send(request, best, 0);
		return true;
	}

	/** Exact largest memory that the streams and one more will ever hold together. */
	private peakTokens(streams: Set<Stream>, added: BenchRequest): number {
		const rows = [{left: added.outputTokens, size: added.promptTokens}];
		for (const {request, producedTokens} of streams) {
			rows.push({
				left: request.outputTokens - producedTokens,
				size: request.promptTokens + producedTokens,
			});
		}

		rows.sort((a, b) => b.left - a.left);
		let peak = 0;
		let size = 0;
		for (const [index, row] of rows.entries()) {
			size += row.size;
			peak = Math.max(peak, size + (index + 1) * row.left);
		}

		return peak;
	}
}
