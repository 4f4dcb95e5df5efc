import {
	createOrderWorld,
	modelNames,
	orderPlans,
	type OrderStep,
	type OrderWorld,
	type OrderMutation,
} from '../orders/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';

const warmUpMs = 12_000;
/** Time from the end of all faults to the end of a run; half of it also passes before they are ended. */
const quietMs = 90_000;
const rowCheckIntervalMs = 500;

/** Entry VMs hold leases and send orders to load and unload models while faults are injected, alone or in pairs. */
export class OrderScenario extends SoakScenario<readonly OrderStep[]> {
	override readonly name = 'orders';
	override readonly plans = orderPlans;
	/** Simulated system of the latest run, for tests that inspect its final state. */
	lastWorld: OrderWorld | undefined;

	/** @param plantedFaults - faults that a test plants in the decision code */
	constructor(private readonly plantedFaults: OrderMutation = {}) {
		super();
	}

	override async execute(
		plan: readonly OrderStep[],
		context: SoakContext,
	): Promise<void> {
		const {time} = context;
		const world = createOrderWorld(context, this.plantedFaults);
		this.lastWorld = world;
		const runFor = async (lengthMs: number) => {
			const untilMs = time.nowMs() + lengthMs;
			while (time.nowMs() < untilMs) {
				await time.runUntil(
					Math.min(untilMs, time.nowMs() + rowCheckIntervalMs),
				);
				world.checks.checkLeaseRows();
			}
		};

		for (const model of modelNames) {
			world.setDemand(model, 60);
		}

		await runFor(warmUpMs);
		for (const step of plan) {
			await runFor(step.afterMs);
			this.inject(step, world, context);
		}

		await runFor(quietMs / 2);
		world.clearFaults();
		await runFor(quietMs);
		world.checks.checkFinalState();
	}

	private inject(
		step: OrderStep,
		world: OrderWorld,
		context: SoakContext,
	): void {
		const nowMs = context.time.nowMs();
		switch (step.kind) {
			case 'demand': {
				world.setDemand(modelNames[step.model], step.tokensPerSecond);
				context.trace(
					`demand ${modelNames[step.model]} ${step.tokensPerSecond}`,
				);
				break;
			}

			case 'crash': {
				world.crash(step.vm);
				break;
			}

			case 'pause': {
				world.pause(step.vm, step.pauseMs);
				break;
			}

			case 'fault-at-send': {
				world.planFaultAtSend(step.pauseMs);
				break;
			}

			case 'order-fault': {
				context.countFault(
					step.fault.kind === 'duplicated' ? 'order-duplicated' : 'order-late',
				);
				world.planOrderFault(step.target, step.fault);
				break;
			}

			case 'commit-fault': {
				context.countFault('answer-lost');
				world.table.planCommitFault({
					kind: step.fault,
					delayMs: step.delayMs,
				});
				break;
			}

			case 'outage': {
				context.countFault('table-down');
				world.table.planFaultPeriod({
					fromMs: nowMs,
					untilMs: nowMs + step.lengthMs,
					kind: step.silent ? 'silent' : 'refuse',
				});
				break;
			}

			case 'stale-list': {
				context.countFault('list-stale');
				world.freezeVmList(nowMs + step.lengthMs);
				break;
			}

			case 'peers-cut': {
				context.countFault('peers-cut');
				world.cutPeers(nowMs + step.lengthMs);
				break;
			}

			case 'report-lag': {
				context.countFault('report-lagged');
				world.setReportLagMs(step.lagMs);
				break;
			}
		}
	}
}
