import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCrashEvidence} from './crash-evidence.js';
import type {PartChange} from './types.js';

function createEvidence(time = new VirtualTime()) {
	const evidence = createCrashEvidence(time);
	const changes: PartChange[] = [];
	evidence.onChanged((change) => {
		changes.push(change);
	});
	/** Records that an engine ended now under a request with these parts. */
	const crash = (engine: string, ...partIds: string[]) => {
		const nowMs = time.nowMs();
		evidence.recordCrash(
			engine,
			partIds.map((partId) => ({partId, sentMs: nowMs - 5, eventCount: 0})),
			nowMs,
		);
	};

	const enginesOf = (partId: string) =>
		evidence.crashesOf(partId).map(({engine}) => engine);
	return {time, evidence, changes, crash, enginesOf};
}

test('counts an engine once that ended under several requests with a part', () => {
	const {crash, enginesOf, changes} = createEvidence();
	crash('e1', 'a', 'x');
	crash('e1', 'a', 'b');
	assert.deepEqual([enginesOf('a'), enginesOf('x')], [['e1'], ['e1']]);
	assert.equal(changes.length, 3);
});

test('a whole response clears the parts of its request, and no others', async () => {
	const {time, evidence, crash, enginesOf, changes} = createEvidence();
	crash('e1', 'a', 'x');
	await time.runUntil(100);
	evidence.recordWholeResponse(['a', 'b']);
	assert.deepEqual([enginesOf('a'), enginesOf('x')], [[], ['e1']]);
	assert.deepEqual(
		changes.map(({partId, cause}) => [partId, cause]),
		[
			['a', 'crash'],
			['x', 'crash'],
			['a', 'whole-response'],
		],
	);
});

test('VMs that exchange their reports have the same evidence, and reports without news change nothing', async () => {
	const first = createEvidence();
	const second = createEvidence(first.time);
	first.crash('e1', 'a', 'x');
	second.crash('e2', 'a', 'x');
	await first.time.runUntil(300);
	for (const report of first.evidence.reports(0, 'own')) {
		second.evidence.recordReport(report);
	}

	for (const report of second.evidence.reports(0)) {
		first.evidence.recordReport(report);
	}

	assert.deepEqual(first.enginesOf('x').sort(), ['e1', 'e2']);
	const changeCount = second.changes.length;
	for (const report of first.evidence.reports(0)) {
		second.evidence.recordReport(report);
	}

	assert.equal(second.changes.length, changeCount);
});

test('an older report of another VM does not restore crashes that a first event has cleared', async () => {
	const {time, evidence, crash, enginesOf} = createEvidence();
	crash('e1', 'a');
	await time.runUntil(100);
	const [old] = evidence.reports(0);
	evidence.recordWholeResponse(['a']);
	await time.runUntil(150);
	evidence.recordReport({
		...old,
		crashes: [{engine: 'e1', ageMs: 150, sentAgeMs: 155, eventCount: 0}],
	});
	assert.deepEqual(enginesOf('a'), []);
	evidence.recordReport({
		...old,
		crashes: [{engine: 'e2', ageMs: 10, sentAgeMs: 30, eventCount: 0}],
	});
	assert.deepEqual(enginesOf('a'), ['e2']);
});

test('a first event that another VM reports clears the older crashes only', async () => {
	const {time, evidence, crash, enginesOf} = createEvidence();
	crash('e1', 'a');
	await time.runUntil(200);
	crash('e2', 'a');
	evidence.recordReport({partId: 'a', crashes: [], clearedAgeMs: 100});
	assert.deepEqual(enginesOf('a'), ['e2']);
});

test('reports hold what was learned since a time, and own news apart', async () => {
	const {time, evidence, crash} = createEvidence();
	crash('e1', 'a');
	await time.runUntil(100);
	evidence.recordReport({
		partId: 'b',
		crashes: [{engine: 'e2', ageMs: 10, sentAgeMs: 30, eventCount: 0}],
		clearedAgeMs: undefined,
	});
	const ids = (...parameters: Parameters<typeof evidence.reports>) =>
		evidence.reports(...parameters).map(({partId}) => partId);
	assert.deepEqual(
		[ids(0), ids(50), ids(0, 'own')],
		[['a', 'b'], ['b'], ['a']],
	);
});

test('keeps a bounded number of parts and crashes, and ignores part ids without a reasonable length', () => {
	const {evidence, crash, enginesOf} = createEvidence();
	for (let index = 0; index < 3000; index++) {
		crash(`e${index}`, 'a', `own-${index}`, 'x'.repeat(100));
	}

	assert.ok(evidence.partIds().length <= 2000);
	// Parts with several crashes are kept longest.
	assert.equal(enginesOf('a').length, 32);
	assert.deepEqual(enginesOf('x'.repeat(100)), []);
});

test('a run that has got further speaks against the crashes at earlier points, and no others', async () => {
	const {time, evidence, enginesOf} = createEvidence();
	const crashAt = (engine: string, eventCount: number) => {
		const part = {partId: 'a', sentMs: time.nowMs() - 5, eventCount};
		evidence.recordCrash(engine, [part], time.nowMs());
	};

	crashAt('e1', 1);
	crashAt('e2', 100);
	await time.runUntil(100);
	evidence.recordProgress(['a', 'b'], 64);
	assert.deepEqual(enginesOf('a'), ['e2']);
	await time.runUntil(200);
	crashAt('e3', 1);
	assert.deepEqual(enginesOf('a'), ['e2', 'e3']);
});
