import {
	prefixBlockTokens,
	type RandomSource,
	SeededRandomSource,
} from '../../common/index.js';
import type {RoutingRequest} from '../../decisions/routing/index.js';
import type {AccountProfile, ClassProfile, Deployment} from './deployments.js';

/** A request of the simulated workload. */
export type BenchRequest = RoutingRequest & {
	readonly index: number;
	readonly arrivalMs: number;
	/** Index of the entry VM that receives the request. */
	readonly vmIndex: number;
	/** Actual length of the answer; only the oracle policy knows it in advance. */
	readonly outputTokens: number;
	/** Time until the first token after which the caller cancels. */
	readonly queueTimeoutMs: number;
};

/** Capacity of all engines of a deployment. */
export type FleetCapacity = {
	readonly requestsPerSecond: number;
	readonly tokensPerMinute: number;
	/** Mean time between two tokens of a stream on a full engine, including the prefill of other prompts. */
	readonly tokenIntervalMs: number;
};

const calibrationSamples = 200_000;
const calibrationSeed = 1;
const burstPeriodMs = 90_000;
const millisecondsPerSecond = 1000;

function nextNormal(random: RandomSource): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()));
	return radius * Math.cos(2 * Math.PI * random.nextUnit());
}

function pickByFraction<T extends {readonly requestFraction: number}>(
	random: RandomSource,
	profiles: readonly T[],
): T {
	let remainder = random.nextUnit();
	for (const profile of profiles) {
		remainder -= profile.requestFraction;
		if (remainder < 0) {
			return profile;
		}
	}

	return profiles.at(-1)!;
}

function drawOutputTokens(
	random: RandomSource,
	profile: ClassProfile,
	account: AccountProfile,
): number {
	const tokens =
		profile.medianTokens *
		account.lengthFactor *
		Math.exp(profile.sigma * nextNormal(random));
	return Math.max(1, Math.min(profile.maxTokens, Math.round(tokens)));
}

function drawPromptTokens(random: RandomSource, profile: ClassProfile): number {
	const span = profile.maxPromptTokens - profile.minPromptTokens;
	return profile.minPromptTokens + random.nextInt(span + 1);
}

/**
 * Estimates the capacity of the engines from a sample of requests. It assumes that their KV cache is
 * always full, that nothing is preempted and that no prompt prefix is cached: the number of running
 * requests is the KV cache size divided by the mean size of a request over its steps, at most the
 * engine's limit.
 */
export function capacityOf(deployment: Deployment): FleetCapacity {
	const {engine, engineCount} = deployment;
	const random = new SeededRandomSource(calibrationSeed);
	let outputTokens = 0;
	let promptTokens = 0;
	let kvCacheTokenSteps = 0;
	for (let index = 0; index < calibrationSamples; index++) {
		const profile = pickByFraction(random, deployment.classes);
		const account = pickByFraction(random, deployment.accounts);
		const output = drawOutputTokens(random, profile, account);
		const prompt = drawPromptTokens(random, profile);
		outputTokens += output;
		promptTokens += prompt;
		kvCacheTokenSteps += output * (prompt + output / 2);
	}

	const running = Math.min(
		engine.maxRunning,
		(engine.capacityTokens * outputTokens) / kvCacheTokenSteps,
	);
	const fullStepMs = engine.stepBaseMs + engine.stepPerRunningMs * running;
	const meanOutputTokens = outputTokens / calibrationSamples;
	const meanPromptTokens = promptTokens / calibrationSamples;
	const requestMs =
		(meanOutputTokens / running) * fullStepMs +
		meanPromptTokens * engine.prefillPerTokenMs;
	const requestsPerSecond = (engineCount * millisecondsPerSecond) / requestMs;
	return {
		requestsPerSecond,
		tokensPerMinute: requestsPerSecond * 60 * meanOutputTokens,
		tokenIntervalMs: (running * requestMs) / meanOutputTokens,
	};
}

/** Contract floor of each client account in tokens per minute, by account name. */
export function floorsOf(
	deployment: Deployment,
	capacity: FleetCapacity,
): ReadonlyMap<string, number> {
	const tokenShares = deployment.accounts.map(
		(account) => account.requestFraction * account.lengthFactor,
	);
	const total = tokenShares.reduce((sum, tokenShare) => sum + tokenShare, 0);
	return new Map(
		deployment.accounts.map((account, index) => [
			account.name,
			(deployment.floorFraction *
				capacity.tokensPerMinute *
				tokenShares[index]) /
				total,
		]),
	);
}

/**
 * Generates the arrivals of one run, which are the same for every policy.
 * @param load - request rate as a fraction of the capacity of the engines
 * @param durationMs - time during which requests arrive
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
	// Poisson arrivals by thinning: candidates arrive at the peak rate and are kept with the probability
	// of the current rate. Rejected candidates draw all their random numbers too, so that the later
	// candidates draw the same numbers whether or not an earlier one is kept.
	const meanGapMs =
		millisecondsPerSecond / (capacity.requestsPerSecond * load * peakFactor);
	const requests: BenchRequest[] = [];
	let arrivalMs = 0;
	for (;;) {
		arrivalMs -= meanGapMs * Math.log(1 - random.nextUnit());
		if (arrivalMs >= durationMs) {
			return requests;
		}

		const account = pickByFraction(random, deployment.accounts);
		const profile = pickByFraction(random, deployment.classes);
		const isBurst = Math.floor(arrivalMs / burstPeriodMs) % 2 === 1;
		const rate = isBurst ? account.burstFactor : 2 - account.burstFactor;
		const isKept = random.nextUnit() * peakFactor < rate;
		const promptTokens = drawPromptTokens(random, profile);
		const prefix = random.nextInt(profile.prefixCount);
		const outputTokens = drawOutputTokens(random, profile, account);
		const vmIndex = random.nextInt(deployment.vmCount);
		if (!isKept) {
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
			prefixHashes: createPrefixHashes(
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

function createPrefixHashes(
	profile: ClassProfile,
	promptTokens: number,
	prefixName: string,
	index: number,
): readonly string[] {
	const blockCount = Math.floor(promptTokens / prefixBlockTokens);
	const sharedBlockCount = Math.floor(profile.prefixTokens / prefixBlockTokens);
	return Array.from({length: blockCount}, (_, block) =>
		block < sharedBlockCount ? `${prefixName}/${block}` : `${index}/${block}`,
	);
}
