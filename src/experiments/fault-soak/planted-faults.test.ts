import assert from 'node:assert/strict';
import path from 'node:path';
import {suite, test} from 'node:test';
import {type PlantedEdit, withPlantedBuild} from '../fakes/planted-build.js';
import type {InvariantName} from './checks/index.js';
import type {SoakStep, StepAction} from './soak-plan.js';
import {runPlan} from './soak-run.js';

type PlantedFault = {
	readonly name: string;
	readonly edits: readonly PlantedEdit[];
	readonly vmCount: number;
	readonly steps: readonly SoakStep[];
	readonly breaks: InvariantName;
};

const step = (
	atMs: number,
	forMs: number,
	action: StepAction,
	selector = 0,
): SoakStep => ({atMs, forMs, selector, action});

const leave: StepAction = {type: 'target', action: 'leave'};
const losingAnswers: StepAction = {type: 'service', mode: 'losing-answers'};
const serving = 'decisions/serving';

const faults: readonly PlantedFault[] = [
	{
		name: 'a retry budget that the VMs do not share',
		edits: [
			{
				file: `${serving}/retry-share.js`,
				original: 'ownExtra(extra, vmCount())',
				replacement: 'extra * 2',
			},
		],
		vmCount: 4,
		steps: [step(1500, 3500, {type: 'service', mode: 'refusing'})],
		breaks: 'retry-budget',
	},
	{
		name: 'a booking that is repeated after a lost answer',
		edits: [
			{
				file: `${serving}/call-session.js`,
				original: 'mayHaveRunCount === 0 ||',
				replacement: 'true ||',
			},
		],
		vmCount: 2,
		steps: [step(500, 1500, losingAnswers, 1)],
		breaks: 'at-most-once',
	},
	{
		name: 'a version of the configuration that is undone',
		edits: [
			{
				file: `${serving}/configuration-state.js`,
				original: 'current = configuration;',
				replacement:
					'const older = current; current = configuration; if (older) { setTimeout(() => { current = older; changed.fire(older); }, 1200); }',
			},
		],
		vmCount: 2,
		steps: [step(500, 0, {type: 'configuration', versions: 1})],
		breaks: 'configuration-forward',
	},
	{
		name: 'a refusal of a request that ran',
		edits: [
			{
				file: `${serving}/refusals.js`,
				original: 'if (mayHaveRun) {',
				replacement: 'if (false) {',
			},
		],
		vmCount: 2,
		steps: [step(500, 1500, losingAnswers)],
		breaks: 'true-refusal',
	},
	{
		name: 'a gap where a stream moves to another engine',
		edits: [
			{
				file: `${serving}/stream-answer.js`,
				original: 'id > lastEventId + 1',
				replacement: 'false',
			},
			{
				file: `${serving}/stream-attempt.js`,
				original: 'undefined : String(lastEventId)',
				replacement: 'undefined : String(lastEventId + 1)',
			},
		],
		vmCount: 2,
		// One engine at a time, so that the copy's engine is there to go on.
		steps: Array.from({length: 6}, (_, index) =>
			step(1000 + index * 2200, 300, {type: 'target', action: 'crash'}, 2),
		),
		breaks: 'event-order',
	},
	{
		name: 'a leaving target that is used',
		edits: [
			{
				file: `${serving}/target-directory.js`,
				original: "if (entry.state === 'draining') {",
				replacement: 'if (false) {',
			},
		],
		vmCount: 2,
		// Nothing is judged while the observer itself was held up, so that more than one target leaves.
		steps: [step(2500, 0, leave), step(5000, 0, leave), step(7500, 0, leave)],
		breaks: 'leaving-target',
	},
	{
		name: 'a broken stream that ends as a whole one does',
		edits: [
			{
				file: `${serving}/stream-session.js`,
				original: "giveUp('the run was lost');",
				replacement: 'ending.streamed(200);',
			},
			{
				file: `${serving}/stream-session.js`,
				original: "continueRun('run lost', cut, isGranted);",
				replacement: 'cut();',
			},
		],
		vmCount: 2,
		steps: [step(1000, 500, {type: 'target', action: 'crash'}, 2)],
		breaks: 'whole-answer',
	},
	{
		name: 'a daemon that cuts its requests when it is stopped',
		edits: [
			{
				file: 'programs/front/create-front.js',
				original: 'await waitForRequests(',
				replacement: 'void (',
			},
		],
		vmCount: 2,
		steps: [0, 1, 2, 3].map((where) =>
			step(2500 + where * 900, 300, {type: 'vm', action: 'stop'}, where),
		),
		breaks: 'calm-service',
	},
];

async function promisesBroken({edits, vmCount, steps}: PlantedFault) {
	return withPlantedBuild(edits, async (directory) => {
		const {violations} = await runPlan(
			{vmCount, steps},
			1,
			path.join(directory, 'programs/front.js'),
		);
		return new Set(violations.map(({promise}) => promise));
	});
}

// Guards against checks that pass whatever the daemons do.
suite('the fault soak', {concurrency: 4}, () => {
	for (const fault of faults) {
		test(`finds ${fault.name}`, async () => {
			const broken = await promisesBroken(fault);
			assert.ok(
				broken.has(fault.breaks),
				`expected ${fault.breaks}, got ${[...broken].join(', ') || 'nothing'}`,
			);
		});
	}
});
