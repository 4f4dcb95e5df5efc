import assert from 'node:assert/strict';
import {suite, test} from 'node:test';
import type {TargetEntry} from '../../common/index.js';
import {fakeTargetEntry, VirtualTime} from '../../experiments/fakes/index.js';
import {coldRuleOf} from './cold-rule.js';
import {createColdTargets} from './cold-targets.js';

const rule = {requestsPerSecond: 28, coldMs: 1000};
const rowDelayMs = 2000;

function createTargets(isLimited = true) {
	const time = new VirtualTime();
	const entries = new Map<string, TargetEntry>();
	const targets = createColdTargets({
		clock: time,
		entries: () => entries.values(),
		entryOf: (targetId) => entries.get(targetId),
		ruleOf: () => (isLimited ? rule : undefined),
		rowDelayMs,
	});
	const changes: string[] = [];
	targets.onChanged((event) => {
		changes.push(
			event.change === 'begins'
				? `${event.targetId} ${event.source} ${event.forMs}`
				: `${event.targetId} ends`,
		);
	});
	/** Writes a row of the engine. */
	const setRow = (warmingMs = 0, changed: Partial<TargetEntry> = {}) => {
		const entry = fakeTargetEntry('e1', {warmingMs, ...changed});
		entries.set(entry.id, entry);
		return entry;
	};

	const limit = () => targets.limitOf('e1');
	return {time, entries, targets, changes, setRow, limit};
}

suite('cold targets', () => {
	test('a target is limited for the time that its newest row names', async () => {
		const {time, setRow, limit} = createTargets();
		setRow(800);
		assert.equal(limit(), 28);
		await time.runUntil(400);
		setRow(900);
		assert.equal(limit(), 28);
		await time.runUntil(1299);
		assert.equal(limit(), 28);
		await time.runUntil(1300);
		assert.equal(limit(), undefined);
		setRow(5000);
		assert.equal(limit(), 28);
		setRow();
		assert.equal(limit(), undefined);
	});

	test('a response names the time too, and an older row without one does not end it', async () => {
		const {time, targets, setRow, limit} = createTargets();
		const entry = setRow();
		assert.equal(limit(), undefined);
		targets.recordResponse(entry, 700);
		setRow();
		await time.runUntil(699);
		assert.equal(limit(), 28);
		await time.runUntil(700);
		assert.equal(limit(), undefined);
	});

	test('all targets of a zone count as cold from the end of its evacuation, as their rows may be old', async () => {
		const {time, targets, setRow, limit} = createTargets();
		setRow();
		await time.runUntil(10_000);
		targets.recordZoneReturn('zone-2');
		assert.equal(limit(), undefined);
		targets.recordZoneReturn('zone-1');
		assert.equal(limit(), 28);
		await time.runUntil(11_900);
		setRow();
		assert.equal(limit(), 28);
		await time.runUntil(12_999);
		assert.equal(limit(), 28);
		await time.runUntil(13_000);
		assert.equal(limit(), undefined);
	});

	test('a row that was surely written after the return says whether the target is still cold', async () => {
		const {time, targets, setRow, limit} = createTargets();
		setRow();
		targets.recordZoneReturn('zone-1');
		await time.runUntil(2100);
		setRow();
		assert.equal(limit(), undefined);
		targets.recordZoneReturn('zone-1');
		await time.runUntil(4200);
		setRow(500);
		assert.equal(limit(), 28);
		await time.runUntil(4700);
		assert.equal(limit(), undefined);
	});

	test('a target that refuses connections counts as cold until some time after it responds again', async () => {
		const {time, targets, setRow, limit} = createTargets();
		const entry = setRow();
		targets.recordRefusal(entry);
		await time.runUntil(60_000);
		assert.equal(limit(), 28);
		targets.recordResponse(entry, 0);
		await time.runUntil(62_999);
		assert.equal(limit(), 28);
		await time.runUntil(63_000);
		assert.equal(limit(), undefined);
		targets.recordResponse(entry, 0);
		assert.equal(limit(), undefined);
	});

	test('what an earlier incarnation has said does not hold for the next one', async () => {
		const {time, targets, setRow, limit} = createTargets();
		const entry = setRow(5000);
		assert.equal(limit(), 28);
		setRow(0, {bornMs: 2});
		assert.equal(limit(), undefined);
		targets.recordResponse(entry, 5000);
		targets.recordRefusal(entry);
		await time.runUntil(10);
		assert.equal(limit(), undefined);
	});

	test('a target of a service without cold limits is never limited', () => {
		const {targets, setRow, limit, changes} = createTargets(false);
		targets.recordRefusal(setRow(5000));
		targets.recordZoneReturn('zone-1');
		targets.tick();
		assert.deepEqual([limit(), changes], [undefined, []]);
	});

	test('reports once when a target starts to count as cold and when it stops, also since it has left', async () => {
		const {time, entries, targets, changes, setRow} = createTargets();
		setRow(800);
		targets.tick();
		targets.tick();
		await time.runUntil(800);
		targets.tick();
		targets.tick();
		assert.deepEqual(changes, ['e1 row 800', 'e1 ends']);
		targets.recordZoneReturn('zone-1');
		targets.tick();
		entries.clear();
		targets.tick();
		targets.tick();
		assert.deepEqual(changes.slice(2), ['e1 return 3000', 'e1 ends']);
	});
});

suite('cold rule', () => {
	const service = {
		name: 'model',
		maxConnections: undefined,
		coldMs: 1000,
		coldRequestsPerSecond: 28,
	};
	const bounds = {coldOverage: 1.5, coldSlack: 5};

	test('nothing is limited without both bounds, a cold time and a cold rate', () => {
		assert.deepEqual(coldRuleOf(service, bounds), rule);
		for (const [changedService, changedBounds] of [
			[undefined, bounds],
			[{...service, coldMs: 0}, bounds],
			[{...service, coldRequestsPerSecond: 0}, bounds],
			[service, {...bounds, coldOverage: undefined}],
			[service, {...bounds, coldSlack: undefined}],
		] as const) {
			assert.equal(coldRuleOf(changedService, changedBounds), undefined);
		}
	});

	test('a small overage lowers the rate, since all permits together may come to half more than the rate', () => {
		const strict = coldRuleOf(service, {...bounds, coldOverage: 0.75});
		assert.equal(strict?.requestsPerSecond, 14);
	});
});
