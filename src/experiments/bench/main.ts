import process from 'node:process';
import {
	checkInteger,
	createCommandLine,
	runProgram,
} from '../../programs/command-line.js';
import {runBench} from './bench-run.js';
import {CowslipspreadPolicy} from './cowslipspread-policy.js';
import {deployments} from './deployments.js';
import type {PolicyFigures} from './measurements.js';
import {OraclePolicy} from './oracle-policy.js';
import type {PolicyContext, RoutingPolicy} from './routing-policy.js';
import {
	LeastOutstandingPolicy,
	PowerOfTwoPolicy,
	RoundRobinPolicy,
} from './simple-policies.js';

// Offered load as a fraction of the capacity of the engines.
const loads = [0.7, 0.95, 1.2];
const maxSeed = 2 ** 31 - 1;

const policies = new Map<string, (context: PolicyContext) => RoutingPolicy>([
	['cowslipspread', (context) => new CowslipspreadPolicy(context)],
	['round-robin', (context) => new RoundRobinPolicy(context)],
	['least-outstanding', (context) => new LeastOutstandingPolicy(context)],
	['power-of-two', (context) => new PowerOfTwoPolicy(context)],
	['oracle', (context) => new OraclePolicy(context)],
]);

await runProgram(async () => {
	const flags = await createCommandLine('bench')
		.options({
			deployment: {
				choices: [...deployments.keys()],
				demandOption: true,
				describe: 'deployment to model',
			},
			seed: {type: 'number', default: 1, describe: 'seed of the arrivals'},
			minutes: {
				type: 'number',
				default: 10,
				describe: 'virtual time in which requests arrive, in minutes',
			},
		})
		.parseAsync();
	const deployment = deployments.get(flags.deployment)!;
	const seed = checkInteger('seed', flags.seed, 0, maxSeed);
	const minutes = checkInteger('minutes', flags.minutes, 1, 120);
	const rows = loads.map((load) => {
		const figures: Record<string, PolicyFigures> = {};
		for (const [name, createPolicy] of policies) {
			const result = runBench({deployment, seed, load, minutes, createPolicy});
			figures[name] = result.figures;
			process.stdout.write(
				`load ${load} ${name}: ${JSON.stringify(result.figures)} finishedTokens ${result.finishedTokens}\n`,
			);
		}

		return {load, policies: figures};
	});
	process.stdout.write(
		`${JSON.stringify({deployment: deployment.name, seed, loads: rows})}\n`,
	);
});
