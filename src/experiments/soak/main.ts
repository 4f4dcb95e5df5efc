import process from 'node:process';
import {ProblemError} from '../../common/index.js';
import {
	checkInteger,
	createCommandLine,
	runProgram,
} from '../../programs/command-line.js';
import {runSoak} from './soak-runner.js';
import {allScenarios} from './scenarios/index.js';

const maxSeed = 2 ** 31 - 1;

await runProgram(async () => {
	const flags = await createCommandLine('soak')
		.options({
			seed: {
				type: 'number',
				default: 1,
				describe: "seed that each run's own seed is derived from",
			},
			runs: {
				type: 'number',
				default: 20,
				describe: 'number of runs of each scenario',
			},
			scenario: {type: 'string', describe: 'run only this scenario'},
		})
		.parseAsync();
	const scenarios = allScenarios.filter(
		(one) => flags.scenario === undefined || one.name === flags.scenario,
	);
	if (scenarios.length === 0) {
		const names = allScenarios.map((one) => one.name).join(', ');
		throw new ProblemError('invalid-setting', `--scenario allows: ${names}`, {
			field: 'scenario',
		});
	}

	const report = await runSoak(
		scenarios,
		checkInteger('seed', flags.seed, 0, maxSeed),
		checkInteger('runs', flags.runs, 1, 1_000_000),
	);
	for (const failure of report.failures) {
		process.stdout.write(`${JSON.stringify(failure, undefined, '\t')}\n`);
	}

	const {failures, ...figures} = report;
	process.stdout.write(`${JSON.stringify(figures)}\n`);
	process.exitCode = failures.length > 0 ? 1 : 0;
});
