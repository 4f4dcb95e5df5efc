import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {
	chooseBackup,
	chooseEngine,
	type EngineCandidate,
} from './engine-placement.js';
import {createTargetLoad, noLoad} from './target-load.js';

const random = new SeededRandomSource(5);
const engine = (
	targetId: string,
	changes: Partial<EngineCandidate> = {},
): EngineCandidate => ({
	targetId,
	availabilityZone: 'zone-1',
	slotCount: 24,
	capacityTokens: 34_000,
	load: noLoad,
	suspect: false,
	...changes,
});
const report = {
	promptTokens: 3000,
	expectedOutputTokens: 900,
	nearZone: 'zone-1',
	otherZoneCostMs: 15,
};
const holding = (count: number) => ({
	openCount: count,
	memoryTokens: count * 3500,
	pendingPromptTokens: 0,
	growthTokens: count * 400,
});

test('replay "many long generations": they spread over memory, not over places', () => {
	const full = engine('e1', {load: holding(9)});
	const free = engine('e2', {load: {...holding(5), openCount: 20}});
	assert.equal(chooseEngine([full, free], report, random)?.targetId, 'e2');
});

test('replay "a clump of prompts": each goes where no other is being computed', () => {
	const busy = engine('e1', {
		load: {...holding(1), pendingPromptTokens: 6000},
	});
	const idle = engine('e2', {load: holding(2)});
	assert.equal(chooseEngine([busy, idle], report, random)?.targetId, 'e2');
});

test('replay "ten generations in one second": no engine gets more than its share', () => {
	const load = createTargetLoad(new VirtualTime(), 1000);
	const counts = new Map<string, number>();
	for (let index = 0; index < 10; index++) {
		const candidates = ['e1', 'e2', 'e3', 'e4', 'e5'].map((id) =>
			engine(id, {load: load.of(id)}),
		);
		const id = chooseEngine(candidates, report, random)?.targetId ?? '';
		counts.set(id, (counts.get(id) ?? 0) + 1);
		load.add(id, {
			openCount: 1,
			memoryTokens: 3000,
			pendingPromptTokens: 3000,
			growthTokens: 900,
		});
	}

	assert.deepEqual([...counts.values()], [2, 2, 2, 2, 2]);
});

test('guards against an engine that failed of late being chosen before a loaded one', () => {
	const failed = engine('e1', {suspect: true});
	const loaded = engine('e2', {load: holding(4)});
	assert.equal(chooseEngine([failed, loaded], report, random)?.targetId, 'e2');
	assert.equal(chooseEngine([failed], report, random)?.targetId, 'e1');
	assert.equal(chooseEngine([], report, random), undefined);
});

test('guards against copies that displace the runs of the engine that keeps them', () => {
	const candidates = [
		engine('e1', {load: holding(3)}),
		engine('e2', {load: holding(8)}),
		engine('e3', {load: holding(7)}),
	];
	assert.equal(chooseBackup(candidates, 'e1', 3900, 'zone-1'), undefined);
	assert.equal(chooseBackup(candidates, 'e2', 3900, 'zone-1'), 'e1');
});
