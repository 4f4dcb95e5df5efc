import type {CostWeights, Delivery} from '../../common/index.js';
import type {EngineSimulationOptions} from '../../standins/engine/index.js';

/** Statistical profile of a request class. */
export type ClassProfile = {
	readonly name: string;
	/** Fraction of all requests. */
	readonly requestFraction: number;
	/** Median length of the answer. */
	readonly medianTokens: number;
	/** Standard deviation of the natural logarithm of the answer's length. */
	readonly sigma: number;
	readonly maxTokens: number;
	readonly minPromptTokens: number;
	readonly maxPromptTokens: number;
	/** Length of a shared prompt prefix. */
	readonly prefixTokens: number;
	/** Number of different shared prefixes for each client account. */
	readonly prefixCount: number;
	readonly delivery: Delivery;
	/** Time until the first token after which the caller cancels. */
	readonly queueTimeoutMs: number;
};

/** Statistical profile of a client account. */
export type AccountProfile = {
	readonly name: string;
	/** Fraction of all requests. */
	readonly requestFraction: number;
	/** Factor on the lengths of the account's answers. */
	readonly lengthFactor: number;
	/**
	 * Factor on the arrival rate in every second period of 90 s; the other periods have a lower rate, so
	 * that the mean stays the same. 1 is steady.
	 */
	readonly burstFactor: number;
};

/** Simulated deployment with its workload. */
export type Deployment = {
	readonly name: string;
	readonly model: string;
	readonly vmCount: number;
	readonly engineCount: number;
	readonly zoneCount: number;
	/** One-way latency to another availability zone, in milliseconds. */
	readonly crossZoneLatencyMs: number;
	readonly engine: EngineSimulationOptions;
	readonly classes: readonly ClassProfile[];
	readonly accounts: readonly AccountProfile[];
	/** Sum of the contract floors as a fraction of the token capacity of the engines. */
	readonly floorFraction: number;
	readonly weights: CostWeights;
};

const engine: EngineSimulationOptions = {
	capacityTokens: 120_000,
	maxRunning: 128,
	stepBaseMs: 12,
	stepPerRunningMs: 0.2,
	prefillPerTokenMs: 0.05,
	maxPrefillTokens: 8192,
	cacheTokens: 40_000,
};

function createAccounts(names: readonly string[]): readonly AccountProfile[] {
	const requestFractions = [
		0.24, 0.19, 0.15, 0.08, 0.08, 0.06, 0.06, 0.05, 0.05, 0.04,
	];
	const lengthFactors = [1, 1.3, 0.7, 1, 1.6, 0.8, 1, 0.6, 1.2, 1];
	return names.map((name, index) => ({
		name,
		requestFraction: requestFractions[index],
		lengthFactor: lengthFactors[index],
		burstFactor: index === 0 ? 1.8 : 1,
	}));
}

const kivikiilto: Deployment = {
	name: 'kivikiilto',
	model: 'inspector',
	vmCount: 6,
	engineCount: 8,
	zoneCount: 4,
	crossZoneLatencyMs: 0.5,
	engine,
	classes: [
		{
			name: 'inspection-report',
			requestFraction: 0.5,
			medianTokens: 500,
			sigma: 1.25,
			maxTokens: 30_000,
			minPromptTokens: 700,
			maxPromptTokens: 2500,
			prefixTokens: 512,
			prefixCount: 3,
			delivery: 'restartable',
			queueTimeoutMs: 30_000,
		},
		{
			name: 'quick-check',
			requestFraction: 0.5,
			medianTokens: 40,
			sigma: 0.8,
			maxTokens: 2000,
			minPromptTokens: 300,
			maxPromptTokens: 900,
			prefixTokens: 256,
			prefixCount: 2,
			delivery: 'restartable',
			queueTimeoutMs: 10_000,
		},
	],
	accounts: createAccounts([
		'hiomo-aalto',
		'hiomo-kaste',
		'hiomo-vuori',
		'finishers-north',
		'finishers-south',
		'slate-desk',
		'shell-desk',
		'order-desk',
		'night-shift',
		'training',
	]),
	floorFraction: 0.5,
	weights: {stallPerSecond: 10, preemption: 2, tailPerSecond: 20},
};

const altiplano: Deployment = {
	name: 'altiplano',
	model: 'manifest-reader',
	vmCount: 8,
	engineCount: 10,
	zoneCount: 3,
	crossZoneLatencyMs: 1.5,
	engine,
	classes: [
		{
			name: 'manifest-sort',
			requestFraction: 0.5,
			medianTokens: 800,
			sigma: 1.2,
			maxTokens: 40_000,
			minPromptTokens: 1000,
			maxPromptTokens: 4500,
			prefixTokens: 768,
			prefixCount: 2,
			delivery: 'whole',
			queueTimeoutMs: 60_000,
		},
		{
			name: 'condition-note',
			requestFraction: 0.5,
			medianTokens: 110,
			sigma: 0.8,
			maxTokens: 3000,
			minPromptTokens: 300,
			maxPromptTokens: 1000,
			prefixTokens: 256,
			prefixCount: 2,
			delivery: 'whole',
			queueTimeoutMs: 20_000,
		},
	],
	accounts: createAccounts([
		'warehouse-xela',
		'warehouse-antigua',
		'schools-west',
		'schools-east',
		'parish-libraries',
		'bookshops-coban',
		'bookshops-peten',
		'returns-desk',
		'donations',
		'volunteers',
	]),
	floorFraction: 0.5,
	weights: {stallPerSecond: 2, preemption: 20, tailPerSecond: 5},
};

/** Deployments by name. */
export const deployments: ReadonlyMap<string, Deployment> = new Map(
	[kivikiilto, altiplano].map((deployment) => [deployment.name, deployment]),
);
