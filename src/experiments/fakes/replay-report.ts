import type {RandomSource} from '../../common/index.js';
import type {ReplayArrival, ReplayKind, ReplayResult} from './replay-types.js';

/** Poisson arrivals of one kind at a constant rate, each from a random one of the accounts. */
export function replayArrivals(
	random: RandomSource,
	kind: ReplayKind,
	{perS, fromMs, untilMs}: {perS: number; fromMs: number; untilMs: number},
	accounts: readonly string[],
): ReplayArrival[] {
	const arrivals: ReplayArrival[] = [];
	const gapMs = () => (-Math.log(1 - random.nextUnit()) * 1000) / perS;
	for (let atMs = fromMs + gapMs(); atMs < untilMs; atMs += gapMs()) {
		const account = accounts[Math.floor(random.nextUnit() * accounts.length)];
		arrivals.push({atMs, kind, account});
	}

	return arrivals;
}

/** Figures of a group of requests. */
export type ReplayFigures = {
	readonly count: number;
	readonly servedShare: number;
	readonly onTimeShare: number;
	readonly refusals: number;
	/** Longest time in the queue before a refusal, as a fraction of the time until the caller gives up. */
	readonly longestInVain: number;
	/** Time in the queue before refusals, in seconds. */
	readonly heldInVainS: number;
};

/** Figures by kind, or by account. */
export function reportReplay(
	results: readonly ReplayResult[],
	groupOf: (result: ReplayResult) => string,
): Record<string, ReplayFigures> {
	const groups = new Map<string, ReplayResult[]>();
	for (const result of results) {
		const group = groupOf(result);
		groups.set(group, [...(groups.get(group) ?? []), result]);
	}

	return Object.fromEntries(
		[...groups].map(([group, all]) => [group, figuresOf(all)]),
	);
}

function figuresOf(all: readonly ReplayResult[]): ReplayFigures {
	const refusals = all.flatMap(({refusedAtFractions}) => refusedAtFractions);
	const heldMs = all.reduce((sum, {heldInVainMs}) => sum + heldInVainMs, 0);
	return {
		count: all.length,
		servedShare: all.filter(({isServed}) => isServed).length / all.length,
		onTimeShare:
			all.filter(({isServed, isOnTime}) => isServed && isOnTime).length /
			all.length,
		refusals: refusals.length,
		longestInVain: Math.max(0, ...refusals),
		heldInVainS: heldMs / 1000,
	};
}

/** Long generations of the first deployment of docs/plan-hard-load.md. */
export const replayLong: ReplayKind = {
	name: 'long',
	promptTokens: 3079,
	outputTokens: 748,
	objectiveMs: 4000,
	limitMs: 39_000,
	priority: 2,
};

/** Its short, urgent generations. */
export const replayShort: ReplayKind = {
	name: 'short',
	promptTokens: 2550,
	outputTokens: 8,
	objectiveMs: 1500,
	limitMs: 6000,
	priority: 0,
};
