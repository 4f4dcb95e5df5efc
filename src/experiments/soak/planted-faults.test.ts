import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {pathToFileURL} from 'node:url';
import {type PlantedEdit, withPlantedBuild} from '../fakes/planted-build.js';
import type * as Runner from './soak-runner.js';
import type {StreamScenario as Scenario} from './scenarios/stream-scenario.js';

const maxRuns = 150;

type PlantedFault = PlantedEdit & {
	readonly name: string;
	/** Invariant whose check has to report the fault. */
	readonly invariant: string;
};

const faults: readonly PlantedFault[] = [
	{
		name: 'order check removed',
		file: 'decisions/streams/stream-sequencer.js',
		original: 'if (position === nextPosition) {',
		replacement: 'if (true) {',
		invariant: 'token-order',
	},
	{
		name: 'tokens of a second generation appended to the first',
		file: 'decisions/streams/relay-session.js',
		original: 'sink.restarted(placement);',
		replacement: '',
		invariant: 'token-order',
	},
	{
		name: 'cancel without the link count',
		file: 'decisions/streams/generation-reader.js',
		original: 'knownLinkCount ?? linkCountOfStart',
		replacement: 'undefined',
		invariant: 'whole-answer',
	},
	{
		name: 'truncated answer reported as complete',
		file: 'decisions/streams/stream-sequencer.js',
		original: "tokenCount === nextPosition ? 'complete' : 'gap'",
		replacement: "'complete'",
		invariant: 'whole-answer',
	},
];

/**
 * Runs the stream scenario on a copy of the compiled code with one fault planted in it, with one seed
 * after the other until a run fails.
 */
async function runStreamScenario(fault: PlantedFault | undefined) {
	return withPlantedBuild(fault ? [fault] : [], async (copy) => {
		const load = async (file: string): Promise<unknown> =>
			import(
				pathToFileURL(path.join(copy, 'experiments/soak', file)).href
			) as Promise<unknown>;
		const {createSoakReport, runScenario} = (await load(
			'soak-runner.js',
		)) as typeof Runner;
		const {StreamScenario} = (await load('scenarios/stream-scenario.js')) as {
			StreamScenario: typeof Scenario;
		};
		const report = createSoakReport();
		for (let seed = 0; seed < maxRuns; seed++) {
			await runScenario(new StreamScenario(), seed, report, {shrink: false});
			if (report.failures.length > 0) {
				break;
			}
		}

		return report;
	});
}

// Without this control run, a check that always fails would count as having caught every fault.
test('the unchanged relay passes', async () => {
	const report = await runStreamScenario(undefined);
	assert.deepEqual(report.failures, []);
});

// A check that cannot fail would pass these faults; each of them has to be caught by its invariant.
for (const fault of faults) {
	test(`the randomised runs catch: ${fault.name}`, async () => {
		const report = await runStreamScenario(fault);
		const violatedInvariants = report.failures.flatMap(({violations}) =>
			violations.map((violation) => violation.split(':')[0]),
		);
		assert.ok(
			violatedInvariants.includes(fault.invariant),
			`expected ${fault.invariant}, got ${[...new Set(violatedInvariants)].join(', ') || 'no violation'}`,
		);
	});
}
