import {
	type CostWeights,
	SeededRandomSource,
	type Disposable,
} from '../../common/index.js';
import {
	createGenerationRouter,
	createLengthStatistics,
	defaultRoutingTuning,
	type GenerationRouter,
	type RoutingTuning,
} from '../../decisions/routing/index.js';
import type {BenchRequest} from './arrivals.js';
import {createExactLedger} from './exact-ledger.js';
import {zoneOf} from './fleet.js';
import {
	type BenchOutcome,
	type PolicyContext,
	RoutingPolicy,
} from './routing-policy.js';

const reportPollMs = 500;
const cachePollMs = 1000;
const activityIntervalMs = 1000;
const minActivityLagMs = 20;
const activityLagSpreadMs = 200;
const cacheGapPart = 0.05;
const tickMs = 25;
const seedStep = 104_729;
const unlimited = 1e12;

/** The router of this project, one instance for each VM, each with its own partial knowledge. */
export class CowslipspreadPolicy extends RoutingPolicy {
	override readonly name = 'cowslipspread';
	private readonly routers: GenerationRouter[] = [];
	private readonly waiting = new Map<BenchRequest, Disposable>();
	private readonly generationIds = new Map<BenchRequest, string>();

	constructor(context: PolicyContext, tuning: Partial<RoutingTuning> = {}) {
		super(context);
		const {deployment, time, random} = context;
		const ledger = createExactLedger((account) => this.contractOf(account));
		for (let vm = 0; vm < deployment.vmCount; vm++) {
			let nextId = 0;
			const router = createGenerationRouter({
				clock: time,
				random: new SeededRandomSource(seedStep * (vm + 1)),
				fleetPosition: () => ({rank: vm, vmCount: deployment.vmCount}),
				availabilityZone: zoneOf(deployment, vm),
				ledger,
				statistics: createLengthStatistics(),
				settingsFor: (account, requestClass) =>
					this.settingsFor(account, requestClass, context.weights),
				createGenerationId: () => `${vm}-${nextId++}`,
				tuning: {
					...defaultRoutingTuning,
					crossZoneLatencyMs: deployment.crossZoneLatencyMs,
					...tuning,
				},
			});
			router.engines.update(context.descriptions);
			this.routers.push(router);
			this.schedule(vm, router, random.nextUnit());
		}
	}

	override submit(request: BenchRequest): void {
		let answered = false;
		const registration = this.routers[request.vmIndex].submit(request, {
			onPlaced: ({targetId, generationId, priority}) => {
				answered = true;
				this.waiting.delete(request);
				this.generationIds.set(request, generationId);
				this.context.send(request, targetId, priority);
			},
			onRefused: () => {
				answered = true;
				this.waiting.delete(request);
			},
		});
		if (!answered) {
			this.waiting.set(request, registration);
		}
	}

	override progressed(request: BenchRequest, producedTokens: number): void {
		const id = this.generationIds.get(request)!;
		this.routers[request.vmIndex].progressed(id, producedTokens);
	}

	override ended(request: BenchRequest, outcome: BenchOutcome): void {
		const id = this.generationIds.get(request)!;
		this.generationIds.delete(request);
		this.routers[request.vmIndex].ended(
			id,
			outcome,
			outcome === 'finished' ? request.outputTokens : 0,
		);
	}

	override withdrawn(request: BenchRequest): void {
		this.waiting.get(request)?.dispose();
		this.waiting.delete(request);
	}

	private contractOf(account: string) {
		return {
			floorTokensPerMinute: this.context.floors.get(account) ?? 0,
			ceilingTokensPerMinute: unlimited,
			shareWeight: 1,
		};
	}

	private settingsFor(
		account: string,
		requestClass: string,
		weights: CostWeights,
	) {
		const profile = this.context.deployment.classes.find(
			(one) => one.name === requestClass,
		);
		return {
			contract: this.contractOf(account),
			classSettings: {
				defaultDelivery: profile?.delivery ?? 'whole',
				resumeWindowMs: 0,
				maxTokens: profile?.maxTokens ?? 1,
				queueTimeoutMs: profile?.queueTimeoutMs ?? 0,
			},
			weights,
		};
	}

	private schedule(vm: number, router: GenerationRouter, phase: number): void {
		const {time, random} = this.context;
		time.every(reportPollMs, phase * reportPollMs, () => {
			for (const targetId of this.context.descriptions.keys()) {
				const report = this.context.report(targetId);
				router.engines.recordReport(targetId, report, time.nowMs());
			}

			router.tick();
		});
		time.every(cachePollMs, phase * cachePollMs, () => {
			for (const engine of router.engines.all()) {
				const events = this.context
					.cacheEvents(engine.id, engine.affinity.lastSequence)
					.filter(() => random.nextUnit() >= cacheGapPart);
				router.engines.recordCacheEvents(engine.id, events, time.nowMs());
			}
		});
		time.every(activityIntervalMs, phase * activityIntervalMs, () => {
			const activity = router.engines.ownActivity();
			const atMs = time.nowMs();
			for (const [other, peer] of this.routers.entries()) {
				if (other !== vm) {
					const lagMs =
						minActivityLagMs + random.nextUnit() * activityLagSpreadMs;
					time.after(lagMs, () => {
						peer.engines.recordActivity(`vm-${vm}`, activity, atMs);
					});
				}
			}
		});
		time.every(tickMs, phase * tickMs, () => {
			if (router.queueLength > 0) {
				router.tick();
			}
		});
	}
}
