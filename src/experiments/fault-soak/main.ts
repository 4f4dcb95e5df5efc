import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	checkInteger,
	createCommandLine,
	runProgram,
} from '../../programs/command-line.js';
import {regressionSeeds} from './regression-seeds.js';
import {planOf} from './soak-plan.js';
import {runPlan, type SoakOutcome} from './soak-run.js';

const maxSeed = 2 ** 31 - 1;
const seedStep = 7919;
const maxVms = 120;
const maxJobs = 16;
const program = fileURLToPath(new URL('../../front.cjs', import.meta.url));

/**
 * Saves the observations and daemon logs of a failed run.
 * @returns the directory that holds them
 */
function saveFailure(
	seed: number,
	{violations, observations, logs}: SoakOutcome,
) {
	const directory = path.join('out', 'fault-soak', String(seed));
	mkdirSync(directory, {recursive: true});
	writeFileSync(
		path.join(directory, 'observations.json'),
		JSON.stringify({violations, ...observations}, undefined, '\t'),
	);
	for (const [index, lines] of logs.entries()) {
		writeFileSync(path.join(directory, `vm-${index}.log`), lines.join('\n'));
	}

	return directory;
}

await runProgram(async () => {
	const flags = await createCommandLine('fault-soak')
		.usage(
			'$0: runs front daemon processes under injected faults and checks invariants',
		)
		.options({
			seed: {
				type: 'number',
				default: 1,
				describe: "base seed from which each run's own seed is derived",
			},
			runs: {type: 'number', default: 10, describe: 'number of runs'},
			jobs: {type: 'number', default: 2, describe: 'number of concurrent runs'},
			vms: {
				type: 'number',
				default: 0,
				describe: 'number of VMs; 0 for the number in the plan',
			},
			exact: {
				type: 'boolean',
				default: false,
				describe: 'execute one run, with --seed as its own seed',
			},
			regressions: {
				type: 'boolean',
				default: false,
				describe: 'execute the recorded runs that have failed before',
			},
		})
		.parseAsync();
	const seed = checkInteger('seed', flags.seed, 0, maxSeed);
	const runs = checkInteger('runs', flags.runs, 1, 100_000);
	const seeds = flags.regressions
		? regressionSeeds.map((regression) => regression.seed)
		: flags.exact
			? [seed]
			: Array.from(
					{length: runs},
					(_, index) => (seed * seedStep + index) % maxSeed,
				);
	const vms = checkInteger('vms', flags.vms, 0, maxVms);
	const jobs = checkInteger('jobs', flags.jobs, 1, maxJobs);
	const totals = {runs: 0, violations: 0, requests: 0, disruptions: 0};
	const failedSeeds: number[] = [];
	const runRemainingSeeds = async () => {
		for (;;) {
			const runSeed = seeds.shift();
			if (runSeed === undefined) {
				return;
			}

			const plan = planOf(runSeed);
			const outcome = await runPlan(
				vms > 0 ? {...plan, vmCount: vms} : plan,
				runSeed,
				program,
			);
			totals.runs++;
			totals.violations += outcome.violations.length;
			totals.requests += outcome.observations.attempts.length;
			totals.disruptions += outcome.observations.disruptions.length;
			if (outcome.violations.length > 0) {
				failedSeeds.push(runSeed);
				const directory = saveFailure(runSeed, outcome);
				for (const {promise, detail} of outcome.violations.slice(0, 5)) {
					process.stdout.write(`seed ${runSeed}: ${promise}: ${detail}\n`);
				}

				process.stdout.write(`seed ${runSeed}: kept in ${directory}\n`);
			}
		}
	};

	await Promise.all(Array.from({length: jobs}, runRemainingSeeds));
	process.stdout.write(`${JSON.stringify({...totals, failed: failedSeeds})}\n`);
	process.exitCode = failedSeeds.length > 0 ? 1 : 0;
});
