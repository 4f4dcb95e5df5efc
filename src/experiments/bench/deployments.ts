import type {CostWeights, Delivery} from '../../common/index.js';
import type {EngineSimulationOptions} from '../../standins/engine/index.js';

/** A class of requests in the bench. */
export type ClassProfile = {
	readonly name: string;
	/** Part of all requests. */
	readonly share: number;
	readonly medianTokens: number;
	/** Standard deviation of the natural logarithm of the length. */
	readonly sigma: number;
	readonly maxTokens: number;
	readonly minPromptTokens: number;
	readonly maxPromptTokens: number;
	/** Length of the prefix that prompts of the same kind share. */
	readonly prefixTokens: number;
	/** Number of different shared prefixes for each client account. */
	readonly prefixCount: number;
	readonly delivery: Delivery;
	readonly queueTimeoutMs: number;
};

/** A client account in the bench. */
export type AccountProfile = {
	readonly name: string;
	/** Part of all requests. */
	readonly share: number;
	/** Factor on the lengths of the account's answers. */
	readonly lengthFactor: number;
	/** Factor on the arrival rate in every second stretch of a minute and a half; 1 is steady. */
	readonly burstFactor: number;
};

/** A deployment as the bench models it. */
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
	/** Floors together, as a part of what the engines can carry. */
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

function accountsNamed(names: readonly string[]): readonly AccountProfile[] {
	const shares = [0.24, 0.19, 0.15, 0.08, 0.08, 0.06, 0.06, 0.05, 0.05, 0.04];
	const factors = [1, 1.3, 0.7, 1, 1.6, 0.8, 1, 0.6, 1.2, 1];
	return names.map((name, index) => ({
		name,
		share: shares[index],
		lengthFactor: factors[index],
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
			share: 0.5,
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
			share: 0.5,
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
	accounts: accountsNamed([
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
			share: 0.5,
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
			share: 0.5,
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
	accounts: accountsNamed([
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
	[kivikiilto, altiplano].map((one) => [one.name, one]),
);
