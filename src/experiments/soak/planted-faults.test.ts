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
	readonly breaks: string;
};

const faults: readonly PlantedFault[] = [
	{
		name: 'order check removed',
		file: 'decisions/streams/stream-sequencer.js',
		original: 'if (position === nextPosition) {',
		replacement: 'if (true) {',
		breaks: 'token-order',
	},
	{
		name: 'tokens of a second generation appended to the first',
		file: 'decisions/streams/relay-session.js',
		original: 'sink.restarted(place);',
		replacement: '',
		breaks: 'token-order',
	},
	{
		name: 'cancel without the link count',
		file: 'decisions/streams/generation-reader.js',
		original: 'knownLinkCount ?? linkCountOfStart',
		replacement: 'undefined',
		breaks: 'whole-answer',
	},
	{
		name: 'early end taken for a whole answer',
		file: 'decisions/streams/stream-sequencer.js',
		original: "tokenCount === nextPosition ? 'complete' : 'gap'",
		replacement: "'complete'",
		breaks: 'whole-answer',
	},
];

/** Runs the scenario on a copy of the built code with one fault in it. */
async function runWith(fault: PlantedFault | undefined) {
	return withPlantedBuild(fault ? [fault] : [], async (copy) => {
		const load = async (file: string): Promise<unknown> =>
			import(
				pathToFileURL(path.join(copy, 'experiments/soak', file)).href
			) as Promise<unknown>;
		const {createSoakReport: emptySoakReport, runScenario} = (await load(
			'soak-runner.js',
		)) as typeof Runner;
		const {StreamScenario} = (await load('scenarios/stream-scenario.js')) as {
			StreamScenario: typeof Scenario;
		};
		const report = emptySoakReport();
		for (let seed = 0; seed < maxRuns; seed++) {
			await runScenario(new StreamScenario(), seed, report, {shrink: false});
			if (report.failures.length > 0) {
				break;
			}
		}

		return report;
	});
}

// Guards against checks that pass whatever the relay does.
test('the unchanged relay passes', async () => {
	const report = await runWith(undefined);
	assert.deepEqual(report.failures, []);
});

for (const fault of faults) {
	test(`the randomised runs catch: ${fault.name}`, async () => {
		const report = await runWith(fault);
		const names = report.failures.flatMap(({violations}) =>
			violations.map((one) => one.split(':')[0]),
		);
		assert.ok(
			names.includes(fault.breaks),
			`expected ${fault.breaks}, got ${[...new Set(names)].join(', ') || 'no violation'}`,
		);
	});
}
