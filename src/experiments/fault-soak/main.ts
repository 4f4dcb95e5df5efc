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

/** Keeps what explains a failure. */
function keep(seed: number, {violations, observations, logs}: SoakOutcome) {
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
		.usage('$0: real daemons under faults from outside')
		.options({
			seed: {
				type: 'number',
				default: 1,
				describe: "seed that each run's own seed is derived from",
			},
			runs: {type: 'number', default: 10, describe: 'number of runs'},
			jobs: {type: 'number', default: 2, describe: 'runs at a time'},
			vms: {
				type: 'number',
				default: 0,
				describe: 'number of VMs; 0 leaves it to the plan',
			},
			exact: {
				type: 'boolean',
				default: false,
				describe: 'play one run whose own seed is the given one',
			},
			regressions: {
				type: 'boolean',
				default: false,
				describe: 'play the runs that failed once',
			},
		})
		.parseAsync();
	const seed = checkInteger('seed', flags.seed, 0, maxSeed);
	const runs = checkInteger('runs', flags.runs, 1, 100_000);
	const seeds = flags.regressions
		? regressionSeeds.map((one) => one.seed)
		: flags.exact
			? [seed]
			: Array.from(
					{length: runs},
					(_, index) => (seed * seedStep + index) % maxSeed,
				);
	const vms = checkInteger('vms', flags.vms, 0, maxVms);
	const jobs = checkInteger('jobs', flags.jobs, 1, maxJobs);
	const figures = {runs: 0, violations: 0, requests: 0, disruptions: 0};
	const failed: number[] = [];
	const work = async () => {
		for (;;) {
			const own = seeds.shift();
			if (own === undefined) {
				return;
			}

			const plan = planOf(own);
			const outcome = await runPlan(
				vms > 0 ? {...plan, vmCount: vms} : plan,
				own,
				program,
			);
			figures.runs++;
			figures.violations += outcome.violations.length;
			figures.requests += outcome.observations.attempts.length;
			figures.disruptions += outcome.observations.disruptions.length;
			if (outcome.violations.length > 0) {
				failed.push(own);
				const kept = keep(own, outcome);
				for (const {promise, detail} of outcome.violations.slice(0, 5)) {
					process.stdout.write(`seed ${own}: ${promise}: ${detail}\n`);
				}

				process.stdout.write(`seed ${own}: kept in ${kept}\n`);
			}
		}
	};

	await Promise.all(Array.from({length: jobs}, work));
	process.stdout.write(`${JSON.stringify({...figures, failed})}\n`);
	process.exitCode = failed.length > 0 ? 1 : 0;
});
