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

type QueuedRequest = {
	readonly account: string;
	readonly requestClass: string;
	readonly expectedTokens: number;
	readonly arrivedMs: number;
	readonly deadlineMs: number;
	readonly request: BenchRequest;
};

const maxQueueLength = 100_000;
const maxKvCacheFraction = 0.985;
// Assumed duration of an engine step, which yields one token for each stream.
const stepMs = 20;
const minuteMs = 60_000;
const tickMs = 25;
const stallThresholdMs = 250;
const unlimited = 1e12;

/**
 * Reference policy that knows the length of every answer and the current state of every engine. It
 * queues requests centrally and admits one only to an engine whose KV cache fits the computed peak.
 */
export class OraclePolicy extends RoutingPolicy {
	override readonly name = 'oracle';
	private readonly queue = createAdmissionQueue<QueuedRequest>(maxQueueLength);
	private readonly queuedByRequest = new Map<BenchRequest, QueuedRequest>();
	private readonly streamsByTarget = new Map<string, Set<Stream>>();
	private readonly streamByRequest = new Map<BenchRequest, Stream>();
	private readonly tokensInNextMinuteByAccount = new Map<string, number>();
	private readonly prefillUntilMs = new Map<string, number>();
	private readonly ledger = createExactLedger((account) => ({
		floorTokensPerMinute: this.context.floors.get(account) ?? 0,
		ceilingTokensPerMinute: unlimited,
		shareWeight: 1,
	}));

	constructor(context: PolicyContext) {
		super(context);
		for (const targetId of context.descriptions.keys()) {
			this.streamsByTarget.set(targetId, new Set());
		}

		context.time.every(tickMs, 0, () => {
			this.serve();
		});
	}

	override submit(request: BenchRequest): void {
		const {time} = this.context;
		const queued: QueuedRequest = {
			account: request.account,
			requestClass: request.requestClass,
			expectedTokens: request.outputTokens,
			arrivedMs: time.nowMs(),
			deadlineMs: time.nowMs() + request.queueTimeoutMs,
			request,
		};
		this.queuedByRequest.set(request, queued);
		this.queue.add(queued);
		this.serve();
	}

	override progressed(request: BenchRequest, producedTokens: number): void {
		const stream = this.streamByRequest.get(request);
		if (stream) {
			stream.producedTokens = producedTokens;
			this.charge(stream);
		}
	}

	override ended(request: BenchRequest): void {
		const stream = this.streamByRequest.get(request);
		if (stream) {
			stream.producedTokens = request.outputTokens;
			this.charge(stream);
			this.streamByRequest.delete(request);
			this.streamsByTarget.get(stream.targetId)!.delete(stream);
			this.serve();
		}
	}

	override withdrawn(request: BenchRequest): void {
		const queued = this.queuedByRequest.get(request);
		if (queued) {
			this.queue.remove(queued);
			this.queuedByRequest.delete(request);
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

		this.updateTokensInNextMinute();
		this.queue.serve(
			this.context.time.nowMs(),
			(account) => ({
				hasFloorPriority: this.isBelowFloor(account),
				shareWeight: 1,
			}),
			({request}) => this.place(request),
		);
	}

	/** Computes the tokens that the running streams of each account will produce in the next minute. */
	private updateTokensInNextMinute(): void {
		this.tokensInNextMinuteByAccount.clear();
		for (const {request, producedTokens} of this.streamByRequest.values()) {
			const remainingTokens = request.outputTokens - producedTokens;
			const tokens = Math.min(remainingTokens, minuteMs / stepMs);
			const sum = this.tokensInNextMinuteByAccount.get(request.account) ?? 0;
			this.tokensInNextMinuteByAccount.set(request.account, sum + tokens);
		}
	}

	/**
	 * Returns whether the running streams of an account are too few for its floor, in the rest of this
	 * minute or in a whole minute.
	 */
	private isBelowFloor(account: string): boolean {
		const floor = this.context.floors.get(account) ?? 0;
		const wallMs = this.context.time.wallMs();
		const expected = this.tokensInNextMinuteByAccount.get(account) ?? 0;
		const fractionLeft = 1 - (wallMs % minuteMs) / minuteMs;
		const {floorTokensLeft} = this.ledger.quotaStatus(account, wallMs);
		return floorTokensLeft > expected * fractionLeft || floor > expected;
	}

	/**
	 * Sends a request to the engine with the lowest cost of stalls, prefill delay and KV cache use.
	 * @returns false if it fits into no engine
	 */
	private place(request: BenchRequest): boolean {
		const {deployment, time, engineSimulations} = this.context;
		const nowMs = time.nowMs();
		let bestTargetId: string | undefined;
		let lowestCost = Infinity;
		for (const [targetId, streams] of this.streamsByTarget) {
			const peakTokens = this.computePeakTokens(streams, request);
			if (peakTokens > deployment.engine.capacityTokens * maxKvCacheFraction) {
				continue;
			}

			const simulation = engineSimulations.get(targetId)!;
			const prefillTokens =
				request.promptTokens - simulation.cachedTokens(request.prefixHashes);
			const prefillMs = prefillTokens * deployment.engine.prefillPerTokenMs;
			const prefillBacklogMs = Math.max(
				0,
				(this.prefillUntilMs.get(targetId) ?? 0) - nowMs,
			);
			const gapMs = prefillBacklogMs + prefillMs + stepMs;
			const stallMs = streams.size * Math.max(0, gapMs - stallThresholdMs);
			const cost =
				stallMs +
				gapMs +
				(peakTokens / deployment.engine.capacityTokens) * stallThresholdMs;
			if (cost < lowestCost) {
				lowestCost = cost;
				bestTargetId = targetId;
			}
		}

		if (bestTargetId === undefined) {
			return false;
		}

		const stream = {
			request,
			targetId: bestTargetId,
			producedTokens: 0,
			chargedTokens: 0,
		};
		const cachedTokens = engineSimulations
			.get(bestTargetId)!
			.cachedTokens(request.prefixHashes);
		this.prefillUntilMs.set(
			bestTargetId,
			Math.max(nowMs, this.prefillUntilMs.get(bestTargetId) ?? 0) +
				(request.promptTokens - cachedTokens) *
					deployment.engine.prefillPerTokenMs,
		);
		this.queuedByRequest.delete(request);
		this.streamByRequest.set(request, stream);
		this.streamsByTarget.get(bestTargetId)!.add(stream);
		this.context.send(request, bestTargetId, 0);
		return true;
	}

	/**
	 * Returns the largest KV cache size, in tokens, that the running streams and one more request will
	 * need at the same time. The maximum is reached just before one of the streams ends.
	 */
	private computePeakTokens(streams: Set<Stream>, added: BenchRequest): number {
		const streamSizes = [
			{remainingTokens: added.outputTokens, size: added.promptTokens},
		];
		for (const {request, producedTokens} of streams) {
			streamSizes.push({
				remainingTokens: request.outputTokens - producedTokens,
				size: request.promptTokens + producedTokens,
			});
		}

		streamSizes.sort((a, b) => b.remainingTokens - a.remainingTokens);
		let peak = 0;
		let size = 0;
		for (const [index, streamSize] of streamSizes.entries()) {
			size += streamSize.size;
			peak = Math.max(peak, size + (index + 1) * streamSize.remainingTokens);
		}

		return peak;
	}
}
