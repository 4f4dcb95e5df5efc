import process from 'node:process';
import {type RandomSource, SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../fakes/index.js';

/**
 * Compares the latency of calls to plain services with and without hedging, in virtual time. A call
 * without a response after `hedgeDelayMs` is sent to a second target as well, for at most
 * `maxHedgeFraction` of the calls, and the first response counts. The slower copy is not cancelled and
 * occupies its target until it is done.
 */
const targetCount = 6;
const meanServiceMs = 5;
const callCount = 40_000;
const stragglerMs = 200;
const hedgeDelayMs = 30;
const maxHedgeFraction = 0.05;

type Options = {
	/** Offered load as a fraction of the capacity of all targets, without hedges. */
	readonly load: number;
	/** Fraction of the calls that take `stragglerMs` longer. */
	readonly stragglerShare: number;
	readonly hedged: boolean;
};

const exponential = (random: RandomSource, mean: number) =>
	-mean * Math.log(1 - random.nextUnit());

async function run({load, stragglerShare, hedged}: Options) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(1);
	const freeAtMs = Array.from({length: targetCount}, () => 0);
	const latenciesMs: number[] = [];
	const counts = {hedges: 0};
	let arrivalMs = 0;
	const meanMs = meanServiceMs + stragglerShare * stragglerMs;
	const meanGapMs = meanMs / targetCount / load;

	/** Queues a call at a target and returns the time at which it is done. */
	const enqueueCall = (target: number, nowMs: number) => {
		const isStraggler = random.nextUnit() < stragglerShare;
		const serviceMs =
			exponential(random, meanServiceMs) + (isStraggler ? stragglerMs : 0);
		freeAtMs[target] = Math.max(freeAtMs[target], nowMs) + serviceMs;
		return freeAtMs[target];
	};

	for (let call = 0; call < callCount; call++) {
		arrivalMs += exponential(random, meanGapMs);
		time.after(arrivalMs, () => {
			const startMs = time.nowMs();
			const target = random.nextInt(targetCount);
			const firstEndMs = enqueueCall(target, startMs);
			if (!hedged || firstEndMs - startMs <= hedgeDelayMs) {
				latenciesMs.push(firstEndMs - startMs);
				return;
			}

			time.after(hedgeDelayMs, () => {
				let earliestEndMs = firstEndMs;
				if (counts.hedges < maxHedgeFraction * latenciesMs.length) {
					counts.hedges++;
					const other =
						(target + 1 + random.nextInt(targetCount - 1)) % targetCount;
					earliestEndMs = Math.min(
						earliestEndMs,
						enqueueCall(other, time.nowMs()),
					);
				}

				latenciesMs.push(earliestEndMs - startMs);
			});
		});
	}

	await time.runUntil(arrivalMs + 60_000);
	latenciesMs.sort((first, second) => first - second);
	const percentileMs = (fraction: number) =>
		Math.round(latenciesMs[Math.floor(latenciesMs.length * fraction)] * 10) /
		10;
	return {
		load,
		stragglerShare,
		hedged,
		p50Ms: percentileMs(0.5),
		p95Ms: percentileMs(0.95),
		p99Ms: percentileMs(0.99),
		hedges: counts.hedges,
	};
}

for (const load of [0.3, 0.6, 0.8]) {
	for (const stragglerShare of [0, 0.01]) {
		for (const hedged of [false, true]) {
			const figures = await run({load, stragglerShare, hedged});
			process.stdout.write(`${JSON.stringify(figures)}\n`);
		}
	}
}
