import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {
	type ReplayArrival,
	replayArrivals,
	replayGenerations,
	replayLong as long,
	replayShort as short,
	reportReplay,
} from '../../experiments/fakes/index.js';

const smallAccounts = ['a', 'b', 'c', 'd', 'e', 'f'];

/** Usual traffic of small accounts, and a burst of long generations of a large one. */
const largeAccountBurst = (seed: number): ReplayArrival[] => {
	const random = new SeededRandomSource(seed);
	const usual = {fromMs: 0, untilMs: 20_000};
	const burst = {perS: 36, fromMs: 4000, untilMs: 10_000};
	return [
		...replayArrivals(random, long, {perS: 4, ...usual}, smallAccounts),
		...replayArrivals(random, short, {perS: 8, ...usual}, smallAccounts),
		...replayArrivals(random, long, burst, ['large']),
	];
};

for (const {seed, takeoverMs} of [
	{seed: 3, takeoverMs: undefined},
	{seed: 5, takeoverMs: undefined},
	{seed: 3, takeoverMs: 8000},
]) {
	const loss = takeoverMs ? ', whose coordinator is lost in the middle' : '';
	test(`serves accounts that ask for less than their share as often as any during the burst of a large one${loss} (seed ${seed})`, async (t) => {
		const results = await replayGenerations({
			arrivals: largeAccountBurst(seed),
			engineCount: 10,
			takeoverMs,
			seed,
		});
		const ofLong = results.filter(({kind}) => kind === long);
		const figures = reportReplay(ofLong, ({account}) => account);
		t.diagnostic(JSON.stringify(figures));
		const shares = Object.values(figures).map(({servedShare}) => servedShare);
		for (const account of smallAccounts) {
			const {servedShare} = figures[account];
			assert.ok(servedShare >= 0.9 * Math.max(...shares), account);
		}
	});
}

test('names the standing of the account in the reason of a refusal, so that its burst can be told from a lack of engines', async () => {
	const results = await replayGenerations({
		arrivals: largeAccountBurst(3),
		engineCount: 10,
		seed: 3,
	});
	const reasonsOf = (isLarge: boolean) =>
		results
			.filter(({account}) => (account === 'large') === isLarge)
			.flatMap(({refusalReasons}) => refusalReasons);
	assert.ok(reasonsOf(true).some((reason) => reason.includes('far above')));
	assert.ok(reasonsOf(false).every((reason) => !reason.includes('far above')));
});
