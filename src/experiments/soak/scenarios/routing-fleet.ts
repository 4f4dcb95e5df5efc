import {
	type LoadReport,
	type TargetDescription,
	SeededRandomSource,
} from '../../../common/index.js';
import {
	createContractLedger,
	createPeerUsage,
	type PeerUsage,
	type SharedContractLedger,
} from '../../../decisions/contracts/index.js';
import {
	createGenerationRouter,
	createLengthStatistics,
	defaultRoutingTuning,
	type GenerationRouter,
} from '../../../decisions/routing/index.js';
import {
	createEngineSimulation,
	type EngineSimulation,
	type SimulatedGeneration,
} from '../../../standins/engine/index.js';
import type {SoakContext} from '../soak-scenario.js';

/** One entry VM of the scenario. */
export type RoutingVm = {
	readonly name: string;
	readonly router: GenerationRouter;
	readonly ledger: SharedContractLedger;
	readonly peerUsage: PeerUsage;
};

/** A generation at an engine of the scenario. */
export type RoutedGeneration = SimulatedGeneration & {
	readonly account: string;
	/** Called after each step of the engine with the number of tokens produced so far. */
	readonly onProgress: (producedTokens: number) => void;
	/** Called when the generation is finished, or lost because its engine was killed. */
	readonly onEnded: (
		outcome: 'finished' | 'lost',
		producedTokens: number,
	) => void;
};

/** One engine of the scenario. */
export type RoutingEngine = {
	readonly id: string;
	isUp: boolean;
	/** Replaced by an empty simulation whenever the engine is killed. */
	simulation: EngineSimulation<RoutedGeneration>;
	/** Latest report, which the VMs see. */
	report: LoadReport;
	/** Whether a step of the simulation is in progress. */
	isStepping: boolean;
};

/** Contracts of the scenario's client accounts; only `steady` has a floor. */
export const routingContracts = {
	steady: {
		floorTokensPerMinute: 600,
		ceilingTokensPerMinute: 1_000_000,
		shareWeight: 1,
	},
	flood: {
		floorTokensPerMinute: 0,
		ceilingTokensPerMinute: 1_000_000,
		shareWeight: 4,
	},
} as const;

/** Client accounts of the scenario. */
export type RoutingAccount = keyof typeof routingContracts;

const modelName = 'model';
const capacityTokens = 4000;
const queueTimeoutMs = 10_000;
const maxQueueLength = 40;
const reportIntervalMs = 1000;

const simulationOptions = {
	capacityTokens,
	maxRunning: 32,
	stepBaseMs: 90,
	stepPerRunningMs: 1,
	prefillPerTokenMs: 0.1,
};

/** Settings of an account; they differ only in the contract. */
function settingsFor(account: string) {
	return {
		contract: routingContracts[account as RoutingAccount],
		classSettings: {
			defaultDelivery: 'whole' as const,
			resumeWindowMs: 0,
			maxTokens: 2000,
			queueTimeoutMs,
		},
		weights: {stallPerSecond: 1, preemption: 1, tailPerSecond: 1},
	};
}

/**
 * Creates the entry VMs.
 * @param count - number of VMs
 */
export function createRoutingVms(
	count: number,
	engineIds: readonly string[],
	context: SoakContext,
): readonly RoutingVm[] {
	const descriptions = new Map<string, TargetDescription>(
		engineIds.map((id, index) => [
			id,
			{
				id,
				kind: 'engine',
				url: `http://${id}`,
				availabilityZone: `zone-${index % 2}`,
				models: [modelName],
				service: '',
				fencing: 'ignores',
				answersOutcomes: false,
			},
		]),
	);
	return Array.from({length: count}, (_, rank) => {
		const peerUsage = createPeerUsage();
		const ledger = createContractLedger({
			contractOf: (account) => routingContracts[account as RoutingAccount],
			peerUsage,
			vmCount: () => count,
			connected: () => true,
		});
		let nextId = 0;
		const router = createGenerationRouter({
			clock: context.time,
			random: new SeededRandomSource(context.random.nextInt(2 ** 31)),
			fleetPosition: () => ({rank, vmCount: count}),
			availabilityZone: `zone-${rank % 2}`,
			ledger,
			statistics: createLengthStatistics(),
			settingsFor,
			createGenerationId: () => `vm-${rank}/${nextId++}`,
			tuning: {...defaultRoutingTuning, maxQueueLength},
		});
		router.engines.update(descriptions);
		return {name: `vm-${rank}`, router, ledger, peerUsage};
	});
}

/** Creates engines that run in virtual time. */
export function createRoutingEngines(
	ids: readonly string[],
	{time}: SoakContext,
): ReadonlyMap<
	string,
	RoutingEngine & {start(generation: RoutedGeneration): void}
> {
	const create = (id: string) => {
		const run = () => {
			const current = engine.simulation;
			if (
				!engine.isUp ||
				current.runningCount + current.waitingCount === 0 ||
				engine.isStepping
			) {
				return;
			}

			engine.isStepping = true;
			const {durationMs, produced, finished} = current.step();
			const progress = produced.map(({generation, producedTokens}) => ({
				generation,
				producedTokens,
			}));
			const finishedGenerations = finished.map(({generation}) => generation);
			time.after(durationMs, () => {
				// The tokens of the step in progress are lost if the engine was killed.
				if (engine.simulation !== current) {
					return;
				}

				engine.isStepping = false;
				for (const {generation, producedTokens} of progress) {
					generation.onProgress(producedTokens);
				}

				for (const generation of finishedGenerations) {
					generation.onEnded('finished', generation.outputTokens);
				}

				run();
			});
		};

		const engine = {
			id,
			isUp: true,
			simulation: createEngineSimulation<RoutedGeneration>(simulationOptions),
			report: createLoadReport(createEngineSimulation(simulationOptions), 0),
			isStepping: false,
			start(generation: RoutedGeneration) {
				engine.simulation.submit(generation);
				run();
			},
		};
		return engine;
	};

	return new Map(ids.map((id) => [id, create(id)]));
}

/**
 * Creates a report of an engine's current load.
 * @param sequence - sequence number of the report
 */
export function createLoadReport(
	simulation: EngineSimulation<RoutedGeneration>,
	sequence: number,
): LoadReport {
	return {
		sequence,
		ageMs: reportIntervalMs,
		runningCount: simulation.runningCount,
		waitingCount: simulation.waitingCount,
		usedTokens: simulation.usedTokens,
		capacityTokens,
		preemptionsTotal: simulation.preemptionsTotal,
		models: [modelName],
		leaving: false,
	};
}

/** Kills an engine: its generations are lost, and it is down until `isUp` is set again. */
export function killEngine(engine: RoutingEngine): void {
	const lost = [...engine.simulation.running, ...engine.simulation.waiting];
	engine.simulation =
		createEngineSimulation<RoutedGeneration>(simulationOptions);
	engine.isUp = false;
	engine.isStepping = false;
	for (const {generation, producedTokens} of lost) {
		generation.onEnded('lost', producedTokens);
	}
}
