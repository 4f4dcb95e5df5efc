import process from 'node:process';
import {type RandomSource, SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../fakes/index.js';

/**
 * Compares calls to plain services with and without hedging in virtual time. A hedged call sends a
 * second copy to another target after a delay and takes the first answer; the copy that lost still
 * uses its target.
 */
const targetCount = 6;
const meanServiceMs = 5;
const callCount = 40_000;
const stragglerMs = 200;
const hedgeDelayMs = 30;
const maxHedgeShare = 0.05;

type Options = {
	/** Load as a part of the targets' capacity. */
	readonly load: number;
	/** Part of the calls at which a target pauses. */
	readonly stragglerShare: number;
	readonly hedged: boolean;
};

const exponential = (random: RandomSource, mean: number) =>
	-mean * Math.log(1 - random.nextUnit());

async function run({load, stragglerShare, hedged}: Options) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(1);
	const freeAtMs = Array.from({length: targetCount}, () => 0);
	const latencies: number[] = [];
	const counts = {hedges: 0};
	let clockMs = 0;
	const meanMs = meanServiceMs + stragglerShare * stragglerMs;
	const gapMs = meanMs / targetCount / load;

	const answerAtMs = (target: number, nowMs: number) => {
		const isStraggler = random.nextUnit() < stragglerShare;
		const serviceMs =
			exponential(random, meanServiceMs) + (isStraggler ? stragglerMs : 0);
		freeAtMs[target] = Math.max(freeAtMs[target], nowMs) + serviceMs;
		return freeAtMs[target];
	};

	for (let call = 0; call < callCount; call++) {
		clockMs += exponential(random, gapMs);
		time.after(clockMs, () => {
			const startMs = time.nowMs();
			const target = random.nextInt(targetCount);
			const endMs = answerAtMs(target, startMs);
			if (!hedged || endMs - startMs <= hedgeDelayMs) {
				latencies.push(endMs - startMs);
				return;
			}

			time.after(hedgeDelayMs, () => {
				let best = endMs;
				if (counts.hedges < maxHedgeShare * latencies.length) {
					counts.hedges++;
					const other =
						(target + 1 + random.nextInt(targetCount - 1)) % targetCount;
					best = Math.min(best, answerAtMs(other, time.nowMs()));
				}

				latencies.push(best - startMs);
			});
		});
	}

	await time.runUntil(clockMs + 60_000);
	latencies.sort((first, second) => first - second);
	const at = (share: number) =>
		Math.round(latencies[Math.floor(latencies.length * share)] * 10) / 10;
	return {
		load,
		stragglerShare,
		hedged,
		p50Ms: at(0.5),
		p95Ms: at(0.95),
		p99Ms: at(0.99),
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
