import assert from 'node:assert/strict';
import {suite, type TestContext, test} from 'node:test';
import {
	replayServiceMs,
	replaySlots,
	replayZoneCalls,
	replayZones,
	type ZoneOutcome,
	type ZoneScenario,
} from './testing/zone-replay.js';

/** Each zone peaks for 10 s in turn; all zones together stay below a use of 0.7. */
const peakingDemand: ZoneScenario['demandOf'] = (zone, timeS) => {
	const startS = 5 + 15 * replayZones.indexOf(zone);
	return timeS >= startS && timeS < startS + 10 ? 330 : 120;
};

const describe = (outcome: ZoneOutcome) => {
	const percent = (count: number) =>
		`${((100 * count) / outcome.calls).toFixed(2)}%`;
	return [
		`${outcome.calls} calls`,
		`full ${percent(outcome.full)}`,
		`late ${percent(outcome.late)}`,
		`unserved ${percent(outcome.unserved)}`,
		`between zones ${percent(outcome.betweenZones)}`,
	].join(', ');
};

/** Replays both rules and prints their figures. */
async function compare(context: TestContext, scenario: ZoneScenario) {
	const before = await replayZoneCalls(scenario, 'present');
	const after = await replayZoneCalls(scenario, 'shares');
	context.diagnostic(`before: ${describe(before)}`);
	context.diagnostic(`after: ${describe(after)}`);
	return {before, after};
}

const useOf = (
	outcome: ZoneOutcome,
	zone: string,
	fromS: number,
	toS: number,
) =>
	(outcome.perSecond.get(zone) ?? [])
		.slice(fromS, toS)
		.map((calls) => (calls * replayServiceMs) / (1000 * replaySlots));

suite('replay of calls between zones', () => {
	test('calls of a zone at its peak do not queue at its full target while others have room', async (context) => {
		const scenario = {durationS: 50, demandOf: peakingDemand};
		const {before, after} = await compare(context, scenario);
		assert.ok(after.late <= before.late / 2);
		assert.equal(after.unserved, 0);
	});

	test('no call leaves its zone while its own target has room', async (context) => {
		const scenario = {durationS: 20, demandOf: () => 150};
		const {after} = await compare(context, scenario);
		assert.ok(after.betweenZones <= after.calls * 0.001);
		assert.equal(after.late, 0);
	});

	test('the calls of a zone without a usable target are served elsewhere at once, and return afterwards', async (context) => {
		const scenario: ZoneScenario = {
			durationS: 40,
			demandOf: () => 120,
			isUsable: (zone, timeS) => zone !== 'zone-1' || timeS < 10 || timeS >= 20,
		};
		const {before, after} = await compare(context, scenario);
		assert.equal(after.unserved, 0);
		assert.ok(after.late <= Math.max(before.late, after.calls * 0.001));
		const [use] = useOf(after, 'zone-1', 30, 31);
		assert.ok(use > 0.3, `use ${use} after the return`);
	});

	test('zones that are all above 0.7 are used evenly', async (context) => {
		const demands: Record<string, number> = {
			'zone-1': 330,
			'zone-2': 205,
			'zone-3': 205,
		};
		const scenario = {durationS: 40, demandOf: (zone: string) => demands[zone]};
		const {before, after} = await compare(context, scenario);
		assert.ok(after.late <= before.late / 2);
		for (const zone of replayZones) {
			const uses = useOf(after, zone, 10, 40);
			const mean = uses.reduce((sum, use) => sum + use, 0) / uses.length;
			assert.ok(Math.abs(mean - 0.881) < 0.05, `${zone}: ${mean}`);
		}
	});

	test('figures that are lost on half of the ways, so that the VMs differ, serve callers no worse', async (context) => {
		const scenario: ZoneScenario = {
			durationS: 50,
			demandOf: peakingDemand,
			lossOf: () => 0.5,
		};
		const {before, after} = await compare(context, scenario);
		assert.ok(after.late <= before.late);
		assert.ok(after.unserved <= before.unserved);
	});

	test('without figures for longer than 6 s, VMs decide as before', async (context) => {
		const scenario: ZoneScenario = {
			durationS: 50,
			demandOf: peakingDemand,
			lossOf: (timeS) => (timeS > 2 ? 1 : 0),
		};
		const {before, after} = await compare(context, scenario);
		assert.ok(after.late <= before.late * 1.05);
	});

	test('80 VMs that decide by themselves do not swing together', async (context) => {
		const scenario: ZoneScenario = {
			durationS: 60,
			demandOf: (zone) => (zone === 'zone-1' ? 330 : 120),
		};
		const {before, after} = await compare(context, scenario);
		for (const zone of replayZones) {
			const present = useOf(before, zone, 10, 60);
			const uses = useOf(after, zone, 10, 60);
			context.diagnostic(
				`${zone}: use ${Math.min(...present).toFixed(2)}..${Math.max(...present).toFixed(2)} before, ` +
					`${Math.min(...uses).toFixed(2)}..${Math.max(...uses).toFixed(2)} after`,
			);
			// No target is used above its slots in any second, and each stays in a band of 0.4.
			assert.ok(Math.max(...uses) < 1);
			assert.ok(Math.max(...uses) - Math.min(...uses) < 0.4);
		}
	});
});
