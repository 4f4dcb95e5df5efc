import assert from 'node:assert/strict';
import {test} from 'node:test';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCrashEvidence} from './crash-evidence.js';
import {createPromptQuarantine} from './prompt-quarantine.js';

const minute = 60_000;

function createQuarantine(trialOrder = 0, vmCount = 6) {
	const time = new VirtualTime();
	const evidence = createCrashEvidence(time);
	const quarantine = createPromptQuarantine({
		clock: time,
		evidence,
		vmCount: () => vmCount,
		trialOrder,
	});
	let engineCount = 0;
	/** Sends a request with these parts, under which its engine ends after some time. */
	const crash = async (partIds: readonly string[], durationMs = 500) => {
		const sentMs = time.nowMs();
		await time.runUntil(sentMs + durationMs);
		evidence.recordCrash(
			`e${engineCount++}`,
			partIds.map((partId) => ({partId, sentMs, eventCount: 0})),
			time.nowMs(),
		);
	};

	const outcome = (...partIds: string[]) => quarantine.decide(partIds).outcome;
	return {time, evidence, quarantine, crash, outcome};
}

/** Ends three engines one after the other under requests with the part `x`, beside sound ones with `a`. */
async function crashThree({
	evidence,
	crash,
}: Pick<ReturnType<typeof createQuarantine>, 'crash' | 'evidence'>) {
	await crash(['a', 'b1', 'x', 'own1']);
	await crash(['a', 'b2', 'x', 'own2']);
	await crash(['a', 'b1', 'x', 'own3']);
	evidence.recordWholeResponse(['a']);
}

test('holds requests with the part that all crashes have in common, and no others', async () => {
	const fixture = createQuarantine();
	const {evidence, crash, outcome} = fixture;
	await crash(['a', 'b1', 'x', 'own1']);
	await crash(['a', 'b2', 'x', 'own2']);
	assert.equal(outcome('a', 'b3', 'x', 'own'), 'free');
	await crash(['a', 'b1', 'x', 'own3']);
	assert.equal(outcome('a', 'b3', 'x', 'own'), 'held');
	// The shared part was in all crashes too, but the other one explains them.
	assert.equal(outcome('a', 'b1', 'own'), 'free');
	// Nothing tells which of the two it is until a request with one of them has its whole response.
	assert.equal(outcome('c', 'x', 'own'), 'free');
	evidence.recordWholeResponse(['a', 'b1']);
	assert.equal(outcome('c', 'x', 'own'), 'held');
});

test('holds requests with a part that many share once it is in crashes without the other', async () => {
	const fixture = createQuarantine();
	const {crash, outcome} = fixture;
	for (const own of ['own1', 'own2', 'own3']) {
		await crash(['a', 'x', own]);
	}

	await crash(['a', 'b3', 'own4']);
	await crash(['a', 'b4', 'own5']);
	assert.equal(outcome('a', 'b5', 'own'), 'free');
	await crash(['a', 'b5', 'own6']);
	assert.equal(outcome('a', 'b5', 'own'), 'held');
});

test('engines that end together raise no suspicion', async () => {
	const {time, evidence, outcome} = createQuarantine();
	await time.runUntil(1000);
	for (let index = 0; index < 20; index++) {
		evidence.recordCrash(
			`e${index}`,
			[{partId: 'a', sentMs: 900, eventCount: 0}],
			1000,
		);
	}

	assert.equal(outcome('a'), 'free');
});

test('engines that end within a second raise no suspicion, also one after the other', async () => {
	const {crash, outcome} = createQuarantine();
	for (let index = 0; index < 3; index++) {
		await crash(['a', `own${index}`], 240);
	}

	assert.equal(outcome('a'), 'free');
});

test('a part that was sound shortly before the first crash is suspected later than others', async () => {
	const fixture = createQuarantine();
	const {evidence, crash, outcome} = fixture;
	evidence.recordWholeResponse(['a']);
	for (let index = 0; index < 4; index++) {
		await crash(['a', `own${index}`], 500);
		assert.equal(outcome('a'), 'free');
	}

	await crash(['a', 'own4'], 500);
	assert.equal(outcome('a'), 'held');
});

test('many crashes under requests that waited long in their engines raise a suspicion', async () => {
	const {time, evidence, outcome} = createQuarantine();
	for (let index = 0; index < 5; index++) {
		assert.equal(outcome('x'), 'free');
		await time.runUntil(3000 + index * 300);
		evidence.recordCrash(
			`e${index}`,
			[{partId: 'x', sentMs: index * 300, eventCount: 0}],
			time.nowMs(),
		);
	}

	assert.equal(outcome('x'), 'held');
});

test('a whole response between the crashes keeps a part from suspicion, and later ends it', async () => {
	const fixture = createQuarantine();
	const {evidence, crash, outcome} = fixture;
	await crash(['a', 'x']);
	await crash(['a', 'x']);
	evidence.recordWholeResponse(['a', 'x']);
	for (let index = 0; index < 4; index++) {
		await crash(['a', 'x']);
		assert.equal(outcome('a', 'x'), 'free');
	}

	await crash(['a', 'x']);
	assert.equal(outcome('a', 'x'), 'held');
	evidence.recordWholeResponse(['x']);
	assert.equal(outcome('x'), 'free');
});

test('tells a held request when the next one may be sent', async () => {
	const fixture = createQuarantine();
	const {time, quarantine} = fixture;
	await crashThree(fixture);
	const lastCrashMs = time.nowMs();
	await time.runUntil(lastCrashMs + 20_000);
	assert.deepEqual(quarantine.decide(['x']), {
		outcome: 'held',
		partIds: ['x'],
		crashCount: 3,
		retryAfterMs: 100_000,
	});
});

test('after the hold time sends one request, and waits longer each time that an engine ends under it', async () => {
	const fixture = createQuarantine();
	const {time, crash, outcome} = fixture;
	await crashThree(fixture);
	const trialsMs: number[] = [];
	const startMs = time.nowMs();
	for (let atMs = startMs; atMs < startMs + 30 * minute; atMs += 5000) {
		await time.runUntil(atMs);
		if (outcome('a', 'x') === 'trial') {
			trialsMs.push(atMs - startMs);
			await crash(['a', 'x']);
		}
	}

	assert.deepEqual(
		trialsMs.map((atMs) => Math.round(atMs / minute)),
		[2, 6, 18],
	);
});

test('a trial without a result is followed by another one after some time, not before', async () => {
	const fixture = createQuarantine();
	const {time, outcome} = fixture;
	await crashThree(fixture);
	await time.runUntil(time.nowMs() + 3 * minute);
	assert.deepEqual([outcome('x'), outcome('x')], ['trial', 'held']);
	await time.runUntil(time.nowMs() + minute);
	assert.equal(outcome('x'), 'trial');
});

test('VMs make their trials one after the other', async () => {
	const early = createQuarantine(0, 195);
	const late = createQuarantine(0.5, 195);
	for (const fixture of [early, late]) {
		await crashThree(fixture);
		await fixture.time.runUntil(fixture.time.nowMs() + 3 * minute);
	}

	assert.deepEqual([early.outcome('x'), late.outcome('x')], ['trial', 'held']);
	await late.time.runUntil(late.time.nowMs() + 9 * minute);
	assert.equal(late.outcome('x'), 'trial');
});

test('forgets single crashes, and suspicions that no request comes to disprove', async () => {
	const fixture = createQuarantine();
	const {time, evidence, quarantine, crash} = fixture;
	await crashThree(fixture);
	await crash(['c']);
	await time.runUntil(5 * minute);
	quarantine.sweep();
	assert.ok(evidence.crashesOf('x').length === 3);
	await time.runUntil(11 * minute);
	quarantine.sweep();
	assert.deepEqual(evidence.partIds(), []);
	assert.equal(fixture.outcome('x'), 'free');
});

test('a request under way counts as held while the hold time lasts', async () => {
	const fixture = createQuarantine();
	const {time, quarantine} = fixture;
	assert.equal(quarantine.held(['x']), undefined);
	await crashThree(fixture);
	assert.equal(quarantine.held(['x'])?.crashCount, 3);
	await time.runUntil(time.nowMs() + 3 * minute);
	assert.equal(quarantine.held(['x']), undefined);
});
