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

const reportPollIntervalMs = 500;
const cachePollIntervalMs = 1000;
const activityIntervalMs = 1000;
const minActivityLagMs = 20;
const activityLagSpreadMs = 200;
const lostCacheEventFraction = 0.05;
const tickIntervalMs = 25;
const vmSeedStep = 104_729;
const unlimitedTokens = 1e12;

/**
 * The router of this project: one instance for each VM. Each sees load reports, cache events and the
 * activity of the other VMs with a delay; a part of the cache events is lost.
 */
export class CowslipspreadPolicy extends RoutingPolicy {
	override readonly name = 'cowslipspread';
	private readonly routers: GenerationRouter[] = [];
	private readonly queuedRegistrations = new Map<BenchRequest, Disposable>();
	private readonly generationIds = new Map<BenchRequest, string>();

	constructor(context: PolicyContext, tuning: Partial<RoutingTuning> = {}) {
		super(context);
		const {deployment, time, random} = context;
		const ledger = createExactLedger((account) => this.contractOf(account));
		for (let vm = 0; vm < deployment.vmCount; vm++) {
			let nextId = 0;
			const router = createGenerationRouter({
				clock: time,
				random: new SeededRandomSource(vmSeedStep * (vm + 1)),
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
			this.schedulePolls(vm, router, random.nextUnit());
		}
	}

	override submit(request: BenchRequest): void {
		let isDecided = false;
		const registration = this.routers[request.vmIndex].submit(request, {
			onPlaced: ({targetId, generationId, priority}) => {
				isDecided = true;
				this.queuedRegistrations.delete(request);
				this.generationIds.set(request, generationId);
				this.context.send(request, targetId, priority);
			},
			onRefused: () => {
				isDecided = true;
				this.queuedRegistrations.delete(request);
			},
		});
		if (!isDecided) {
			this.queuedRegistrations.set(request, registration);
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
		this.queuedRegistrations.get(request)?.dispose();
		this.queuedRegistrations.delete(request);
	}

	private contractOf(account: string) {
		return {
			floorTokensPerMinute: this.context.floors.get(account) ?? 0,
			ceilingTokensPerMinute: unlimitedTokens,
			shareWeight: 1,
		};
	}

	private settingsFor(
		account: string,
		requestClass: string,
		weights: CostWeights,
	) {
		const profile = this.context.deployment.classes.find(
			(candidate) => candidate.name === requestClass,
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

	/**
	 * Schedules the periodic tasks of a VM.
	 * @param phase - fraction of each interval by which the first run is delayed, so that VMs differ
	 */
	private schedulePolls(
		vm: number,
		router: GenerationRouter,
		phase: number,
	): void {
		const {time, random} = this.context;
		time.every(reportPollIntervalMs, phase * reportPollIntervalMs, () => {
			for (const targetId of this.context.descriptions.keys()) {
				const report = this.context.report(targetId);
				router.engines.recordReport(targetId, report, time.nowMs());
			}

			router.tick();
		});
		time.every(cachePollIntervalMs, phase * cachePollIntervalMs, () => {
			for (const engine of router.engines.all()) {
				const events = this.context
					.cacheEvents(engine.id, engine.affinity.lastSequence)
					.filter(() => random.nextUnit() >= lostCacheEventFraction);
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
		time.every(tickIntervalMs, phase * tickIntervalMs, () => {
			if (router.queueLength > 0) {
				router.tick();
			}
		});
	}
}
