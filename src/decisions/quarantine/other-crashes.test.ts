import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../common/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createCrashEvidence} from './crash-evidence.js';
import {createPromptQuarantine} from './prompt-quarantine.js';
import {lastMilestone} from './response-point.js';

type Load = {
	readonly engineCount: number;
	readonly requestIntervalMs: number;
	readonly minRunMs: number;
	readonly maxRunMs: number;
	/** Parts of which each prompt has one, as of a session. */
	readonly subjectCount: number;
	readonly crashIntervalMs: number;
	readonly restartMs: number;
};

type Run = {
	readonly partIds: readonly string[];
	readonly engine: number;
	readonly sentMs: number;
	readonly endMs: number;
};

const durationMs = 120_000;
const stepMs = 20;
const prefillMs = 700;
const eventIntervalMs = 40;
const minServedFraction = 0.98;

/** Plays long generations at engines that end at random, and counts the requests that are not held. */
async function play(load: Load, seed: number) {
	const time = new VirtualTime();
	const random = new SeededRandomSource(seed);
	const evidence = createCrashEvidence(time);
	const quarantine = createPromptQuarantine({
		clock: time,
		evidence,
		vmCount: () => 1,
		trialOrder: 0,
	});
	const upMs = Array.from({length: load.engineCount}, () => 0);
	const lives = Array.from({length: load.engineCount}, () => 1);
	let runs: Run[] = [];
	let requestCount = 0;
	let freeCount = 0;
	let nextRequestMs = 0;
	let nextCrashMs = load.crashIntervalMs;

	const upEngines = () =>
		[...upMs.keys()].filter((engine) => upMs[engine] <= time.nowMs());
	const pick = (engines: readonly number[]) =>
		engines[Math.floor(random.nextUnit() * engines.length)];

	const eventCountOf = (sentMs: number) =>
		Math.max(
			0,
			Math.floor((time.nowMs() - sentMs - prefillMs) / eventIntervalMs),
		);

	const send = () => {
		requestCount++;
		const subject = Math.floor(random.nextUnit() * load.subjectCount);
		const partIds = ['route', `subject${subject}`, `own${requestCount}`];
		if (quarantine.decide(partIds).outcome === 'held') {
			return;
		}

		freeCount++;
		const engines = upEngines();
		if (engines.length > 0) {
			const sentMs = time.nowMs();
			const runMs =
				load.minRunMs + random.nextUnit() * (load.maxRunMs - load.minRunMs);
			runs.push({
				partIds,
				engine: pick(engines),
				sentMs,
				endMs: sentMs + runMs,
			});
		}
	};

	const crash = () => {
		const engines = upEngines();
		if (engines.length === 0) {
			return;
		}

		const engine = pick(engines);
		const parts = runs
			.filter((run) => run.engine === engine)
			.flatMap(({partIds, sentMs}) =>
				partIds.map((partId) => ({
					partId,
					sentMs,
					eventCount: eventCountOf(sentMs),
				})),
			)
			.sort((first, second) => second.sentMs - first.sentMs);
		evidence.recordCrash(`e${engine}/${lives[engine]++}`, parts, time.nowMs());
		upMs[engine] = time.nowMs() + load.restartMs;
		runs = runs.filter((run) => run.engine !== engine);
	};

	const recordProgress = () => {
		for (const {partIds, sentMs} of runs) {
			const milestone = lastMilestone(eventCountOf(sentMs));
			const before = lastMilestone(eventCountOf(sentMs + stepMs));
			if (milestone !== undefined && milestone !== before) {
				evidence.recordProgress(partIds, milestone);
			}
		}
	};

	const finishRuns = () => {
		for (const {partIds, endMs} of runs) {
			if (endMs <= time.nowMs()) {
				evidence.recordWholeResponse(partIds);
			}
		}

		runs = runs.filter(({endMs}) => endMs > time.nowMs());
	};

	while (time.nowMs() < durationMs) {
		await time.runUntil(time.nowMs() + stepMs);
		recordProgress();
		finishRuns();
		if (time.nowMs() >= nextCrashMs) {
			nextCrashMs += load.crashIntervalMs * 2 * random.nextUnit();
			crash();
		}

		if (time.nowMs() >= nextRequestMs) {
			nextRequestMs += load.requestIntervalMs * 2 * random.nextUnit();
			send();
		}
	}

	return freeCount / requestCount;
}

const usualLoad: Load = {
	engineCount: 8,
	requestIntervalMs: 300,
	minRunMs: 6000,
	maxRunMs: 14_000,
	subjectCount: 30,
	crashIntervalMs: 2000,
	restartMs: 4000,
};

const loads: Readonly<Record<string, Load>> = {
	'one engine in two seconds': usualLoad,
	'one engine in four seconds, few subjects': {
		...usualLoad,
		crashIntervalMs: 4000,
		subjectCount: 8,
	},
	'one engine in a second': {
		...usualLoad,
		engineCount: 10,
		crashIntervalMs: 1000,
		restartMs: 2500,
	},
};

for (const [name, load] of Object.entries(loads)) {
	test(`engines that end for other reasons during long generations lead to no blame: ${name}`, async () => {
		const fractions: number[] = [];
		for (const seed of [1, 2, 3, 4, 5, 6]) {
			fractions.push(await play(load, seed));
		}

		const mean =
			fractions.reduce((sum, fraction) => sum + fraction, 0) / fractions.length;
		assert.ok(
			mean >= minServedFraction,
			`${mean.toFixed(3)} of the requests were free; by seed: ${fractions.join(' ')}`,
		);
	});
}
