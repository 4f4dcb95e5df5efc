import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	knownFailure,
	type ReplayKind,
	replayArrivals,
	replayGenerations,
	replayLong as long,
	replayShort as short,
	reportReplay,
} from '../../experiments/fakes/index.js';

/** A prompt that takes half of an engine. */
const large: ReplayKind = {
	name: 'large',
	promptTokens: 14_000,
	outputTokens: 400,
	objectiveMs: 6000,
	limitMs: 39_000,
	priority: 2,
};

for (const {seed, load} of [
	{seed: 5, load: 1.4},
	{seed: 5, load: 1.8},
	{seed: 7, load: 1.8},
]) {
	const title = `seldom-asked large prompts do not starve beside many smaller ones (seed ${seed}, load ${load})`;
	test(title, knownFailure(title), async (t) => {
		const random = new SeededRandomSource(seed);
		const arrive = (kind: ReplayKind, perS: number) =>
			replayArrivals(random, kind, {perS, fromMs: 0, untilMs: 20_000}, [
				'a',
				'b',
			]);
		const results = await replayGenerations({
			arrivals: [
				...arrive(long, 11 * load),
				...arrive(short, 10 * load),
				...arrive(large, 0.5),
			],
			engineCount: 12,
			seed,
		});
		const figures = reportReplay(results, ({kind}) => kind.name);
		t.diagnostic(JSON.stringify(figures));
		assert.ok(figures.large.servedShare >= 0.9 * figures.long.servedShare);
	});
}
