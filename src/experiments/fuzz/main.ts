import process from 'node:process';
import {fileURLToPath} from 'node:url';
import * as fc from 'fast-check';
import {
	checkInteger,
	createCommandLine,
	runProgram,
} from '../../programs/command-line.js';
import {fuzzDaemon} from './daemon-fuzz.js';
import {decoderProperties} from './decoder-properties.js';

const maxSeed = 2 ** 31 - 1;
const maxSeconds = 36_000;
const millisecondsPerSecond = 1000;
const runsPerBatch = 200;
const program = fileURLToPath(new URL('../../front.cjs', import.meta.url));

/** Checks all decoders with one seed after the other until the time is over. */
async function fuzzDecoders(seed: number, untilMs: number) {
	const failures: string[] = [];
	let runs = 0;
	for (let batch = 0; performance.now() < untilMs; batch++) {
		for (const {name, property} of decoderProperties) {
			const batchSeed = (seed + batch) % maxSeed;
			const result = fc.check(property, {
				seed: batchSeed,
				numRuns: runsPerBatch,
			});
			runs += result.numRuns;
			if (result.failed) {
				const example = JSON.stringify(result.counterexample);
				failures.push(`${name}, seed ${batchSeed}: ${example}`);
			}
		}

		// Lets the daemon's run beside this one go on.
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}

	return {runs, failures};
}

await runProgram(async () => {
	const flags = await createCommandLine('fuzz')
		.usage('$0: garbage for every decoder and every port of a daemon')
		.options({
			seed: {type: 'number', default: 1, describe: 'seed of all choices'},
			seconds: {type: 'number', default: 10, describe: 'duration'},
		})
		.parseAsync();
	const seed = checkInteger('seed', flags.seed, 0, maxSeed);
	const seconds = checkInteger('seconds', flags.seconds, 1, maxSeconds);
	const forMs = seconds * millisecondsPerSecond;
	const [decoders, daemon] = await Promise.all([
		fuzzDecoders(seed, performance.now() + forMs),
		fuzzDaemon(program, seed, forMs),
	]);
	const failures = [...decoders.failures, ...daemon.failures];
	for (const failure of failures) {
		process.stdout.write(`seed ${seed}: ${failure}\n`);
	}

	process.stdout.write(
		`${JSON.stringify({
			seed,
			seconds,
			decoderRuns: decoders.runs,
			garbageSent: daemon.garbageSent,
			soundRequests: daemon.soundRequests,
			failures: failures.length,
		})}\n`,
	);
	process.exitCode = failures.length > 0 ? 1 : 0;
});
