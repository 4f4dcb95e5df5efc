import {
	prefixBlockTokens,
	type RandomSource,
	SeededRandomSource,
} from '../../common/index.js';
import type {RoutingRequest} from '../../decisions/routing/index.js';
import type {AccountProfile, ClassProfile, Deployment} from './deployments.js';

/** A request of the bench. */
export type BenchRequest = RoutingRequest & {
	readonly index: number;
	readonly arrivalMs: number;
	/** Entry VM that the load balancer hands it to. */
	readonly vmIndex: number;
	/** True length of the answer. */
	readonly outputTokens: number;
	/** Time until the first token after which the caller gives up, in milliseconds. */
	readonly queueTimeoutMs: number;
};

/** What the engines of a deployment can carry. */
export type FleetCapacity = {
	readonly requestsPerSecond: number;
	readonly tokensPerMinute: number;
	/** Time between tokens on a full engine, its prompts included, in milliseconds. */
	readonly tokenIntervalMs: number;
};

const calibrationSamples = 200_000;
const calibrationSeed = 1;
const burstStretchMs = 90_000;
const millisecondsPerSecond = 1000;

function normal(random: RandomSource): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()));
	return radius * Math.cos(2 * Math.PI * random.nextUnit());
}

function pick<T extends {readonly share: number}>(
	random: RandomSource,
	list: readonly T[],
): T {
	let rest = random.nextUnit();
	for (const one of list) {
		rest -= one.share;
		if (rest < 0) {
			return one;
		}
	}

	return list.at(-1)!;
}

function outputTokensOf(
	random: RandomSource,
	profile: ClassProfile,
	account: AccountProfile,
): number {
	const tokens =
		profile.medianTokens *
		account.lengthFactor *
		Math.exp(profile.sigma * normal(random));
	return Math.max(1, Math.min(profile.maxTokens, Math.round(tokens)));
}

function promptTokensIn(random: RandomSource, profile: ClassProfile): number {
	const span = profile.maxPromptTokens - profile.minPromptTokens;
	return profile.minPromptTokens + random.nextInt(span + 1);
}

/**
 * What the engines can carry when their memory is always full and nothing is preempted: memory
 * divided by the memory that an average request holds over its steps, prompts computed without
 * cached prefixes.
 */
export function capacityOf(deployment: Deployment): FleetCapacity {
	const {engine, engineCount} = deployment;
	const random = new SeededRandomSource(calibrationSeed);
	let tokens = 0;
	let prompts = 0;
	let tokenSteps = 0;
	for (let index = 0; index < calibrationSamples; index++) {
		const profile = pick(random, deployment.classes);
		const account = pick(random, deployment.accounts);
		const output = outputTokensOf(random, profile, account);
		const prompt = promptTokensIn(random, profile);
		tokens += output;
		prompts += prompt;
		tokenSteps += output * (prompt + output / 2);
	}

	const running = Math.min(
		engine.maxRunning,
		(engine.capacityTokens * tokens) / tokenSteps,
	);
	const fullStepMs = engine.stepBaseMs + engine.stepPerRunningMs * running;
	const meanTokens = tokens / calibrationSamples;
	const meanPrompt = prompts / calibrationSamples;
	const requestMs =
		(meanTokens / running) * fullStepMs + meanPrompt * engine.prefillPerTokenMs;
	const requestsPerSecond = (engineCount * millisecondsPerSecond) / requestMs;
	return {
		requestsPerSecond,
		tokensPerMinute: requestsPerSecond * 60 * meanTokens,
		tokenIntervalMs: (running * requestMs) / meanTokens,
	};
}

/** Floor of each client account, in tokens per minute. */
export function floorsOf(
	deployment: Deployment,
	capacity: FleetCapacity,
): ReadonlyMap<string, number> {
	const weighted = deployment.accounts.map(
		(account) => account.share * account.lengthFactor,
	);
	const total = weighted.reduce((sum, one) => sum + one, 0);
	return new Map(
		deployment.accounts.map((account, index) => [
			account.name,
			(deployment.floorFraction * capacity.tokensPerMinute * weighted[index]) /
				total,
		]),
	);
}

/**
 * Arrivals of one run, the same for every policy.
 * @param load - part of what the engines can carry
 * @param durationMs - time in which requests arrive
 */
export function createArrivals(
	deployment: Deployment,
	seed: number,
	load: number,
	durationMs: number,
): readonly BenchRequest[] {
	const random = new SeededRandomSource(seed);
	const capacity = capacityOf(deployment);
	const peakFactor = Math.max(
		...deployment.accounts.map((account) => account.burstFactor),
	);
	// Candidates arrive at the peak rate and are thinned to the rate of the moment.
	const meanGapMs =
		millisecondsPerSecond / (capacity.requestsPerSecond * load * peakFactor);
	const requests: BenchRequest[] = [];
	let arrivalMs = 0;
	for (;;) {
		arrivalMs -= meanGapMs * Math.log(1 - random.nextUnit());
		if (arrivalMs >= durationMs) {
			return requests;
		}

		const account = pick(random, deployment.accounts);
		const profile = pick(random, deployment.classes);
		const burst = Math.floor(arrivalMs / burstStretchMs) % 2 === 1;
		const rate = burst ? account.burstFactor : 2 - account.burstFactor;
		const keep = random.nextUnit() * peakFactor < rate;
		const promptTokens = promptTokensIn(random, profile);
		const prefix = random.nextInt(profile.prefixCount);
		const outputTokens = outputTokensOf(random, profile, account);
		const vmIndex = random.nextInt(deployment.vmCount);
		if (!keep) {
			continue;
		}

		const index = requests.length;
		requests.push({
			index,
			arrivalMs,
			vmIndex,
			account: account.name,
			requestClass: profile.name,
			model: deployment.model,
			promptTokens,
			prefixHashes: hashesOf(
				profile,
				promptTokens,
				`${account.name}/${profile.name}/${prefix}`,
				index,
			),
			maxTokens: profile.maxTokens,
			delivery: profile.delivery,
			outputTokens,
			queueTimeoutMs: profile.queueTimeoutMs,
		});
	}
}

function hashesOf(
	profile: ClassProfile,
	promptTokens: number,
	prefixName: string,
	index: number,
): readonly string[] {
	const blocks = Math.floor(promptTokens / prefixBlockTokens);
	const shared = Math.floor(profile.prefixTokens / prefixBlockTokens);
	return Array.from({length: blocks}, (_, block) =>
		block < shared ? `${prefixName}/${block}` : `${index}/${block}`,
	);
}
