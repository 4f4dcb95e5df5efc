import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	type ReplayKind,
	replayArrivals,
	replayGenerations,
	replayLong as long,
	replayShort as short,
	reportReplay,
} from '../../experiments/fakes/index.js';

const accounts = ['a', 'b', 'c', 'd'];

/** A burst of long generations, then one of short generations, beside usual traffic. */
const bursts = (seed: number, load: number) => {
	const random = new SeededRandomSource(seed);
	const arrive = (
		kind: ReplayKind,
		perS: number,
		fromMs: number,
		untilMs: number,
	) =>
		replayArrivals(
			random,
			kind,
			{perS: perS * load, fromMs, untilMs},
			accounts,
		);
	return [
		...arrive(long, 6.5, 0, 20_000),
		...arrive(short, 12.5, 0, 20_000),
		...arrive(long, 1.3 * 6.5, 4000, 10_000),
		...arrive(short, 0.8 * 12.5, 10_000, 14_000),
	];
};

for (const {seed, load} of [
	{seed: 3, load: 1},
	{seed: 7, load: 1.25},
	{seed: 11, load: 1.6},
]) {
	test(`long generations do not take the memory of more urgent short ones in bursts while engines leave (seed ${seed}, load ${load})`, async (t) => {
		const results = await replayGenerations({
			arrivals: bursts(seed, load),
			engineCount: 16,
			leaveIntervalMs: 3300,
			seed,
		});
		const figures = reportReplay(results, ({kind}) => kind.name);
		t.diagnostic(JSON.stringify(figures));
		assert.ok(figures.short.servedShare >= figures.long.servedShare);
		assert.ok(figures.short.longestInVain <= 0.76);
		assert.ok(figures.long.longestInVain <= 0.76);
	});
}

test('keeps nothing free where no more urgent generations ask, so that other deployments use all memory as before', async () => {
	const figuresAt = async (priority: number) => {
		const arrivals = replayArrivals(
			new SeededRandomSource(5),
			{...long, priority},
			{perS: 12, fromMs: 0, untilMs: 10_000},
			accounts,
		);
		const results = await replayGenerations({arrivals, engineCount: 8});
		return reportReplay(results, () => 'all').all;
	};

	assert.deepEqual(await figuresAt(2), await figuresAt(0));
});
