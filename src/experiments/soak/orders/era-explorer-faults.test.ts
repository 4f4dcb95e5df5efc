import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {pathToFileURL} from 'node:url';
import {type PlantedEdit, withPlantedBuild} from '../../fakes/planted-build.js';
import type * as Explorer from './era-explorer.js';
import type * as Scenarios from './era-scenarios.js';

/** Faults by the scenario whose exploration has to find them. */
const faults: ReadonlyArray<readonly [string, PlantedEdit]> = [
	[
		'a version of the configuration',
		{
			file: 'programs/front/configuration-loader.js',
			original: 'received.version < newest.version',
			replacement: 'false',
		},
	],
	[
		'the evacuation of a zone',
		{
			file: 'decisions/serving/zone-evacuations.js',
			original: 'hold([...before, ',
			replacement: 'hold([',
		},
	],
	[
		'the departure of a target',
		{
			file: 'decisions/serving/target-row-history.js',
			original: 'departure.returnAfter = snapshot;',
			replacement: '',
		},
	],
	[
		'the arrival of a target',
		{
			file: 'decisions/serving/target-directory.js',
			original: 'if (!isNewEra) {',
			replacement: 'if (true) {',
		},
	],
];

async function exploreWith(edit: PlantedEdit, name: string) {
	return withPlantedBuild([edit], async (copy) => {
		const load = async (file: string): Promise<unknown> =>
			import(
				pathToFileURL(path.join(copy, 'experiments/soak/orders', file)).href
			) as Promise<unknown>;
		const explorer = (await load('era-explorer.js')) as typeof Explorer;
		const scenarios = (await load('era-scenarios.js')) as typeof Scenarios;
		const scenario = scenarios.eraScenarios.find((each) => each.name === name);
		assert.ok(scenario);
		return explorer.exploreEras(scenario);
	});
}

for (const [name, edit] of faults) {
	// Fails if the exploration misses a rule that was taken out.
	test(`the exploration of ${name} detects a fault in ${edit.file}`, async () => {
		const {violation} = await exploreWith(edit, name);
		assert.match(violation ?? 'no violation', /falls back/);
	});
}
