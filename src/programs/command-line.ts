import process from 'node:process';
import yargs, {type Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ProblemError, toProblem} from '../common/index.js';
import {exitCodes} from './exit-codes.js';
import {programVersion} from './program-version.js';

/**
 * Starts the description of a program's command line. Every flag can be given as an environment
 * variable prefixed with the program's name, for example `COWSLIP_ENTRY_LISTEN_PORT` for
 * `cowslip-entry --listen-port`. A prefix shared by all programs would make each refuse the
 * others' variables as unknown.
 * @param name - name of the program
 */
export function createCommandLine(name: string): Argv {
	return yargs(hideBin(process.argv))
		.scriptName(name)
		.env(name.toUpperCase().replaceAll('-', '_'))
		.parserConfiguration({'greedy-arrays': false})
		.version(programVersion)
		.help()
		.strictOptions()
		.fail((message, error) => {
			throw error ?? new ProblemError('invalid-setting', message);
		});
}

/** Runs a program's main function and turns failures into an exit code and one line. */
export async function runProgram(main: () => Promise<void>): Promise<void> {
	try {
		await main();
	} catch (error) {
		const problem = toProblem(error);
		process.stderr.write(
			`${JSON.stringify({type: problem.type, detail: problem.message})}\n`,
		);
		process.exitCode =
			problem.type === 'invalid-setting' ? exitCodes.usage : exitCodes.failure;
	}
}

/**
 * Parses `name=value,name=value`.
 * @throws ProblemError `invalid-setting` naming the flag
 */
export function parsePairs(
	flag: string,
	text: string,
): ReadonlyMap<string, string> {
	const pairs = new Map<string, string>();
	for (const part of text.split(',').filter((one) => one !== '')) {
		const at = part.indexOf('=');
		if (at < 1 || at === part.length - 1) {
			throw new ProblemError(
				'invalid-setting',
				`--${flag} allows: NAME=VALUE,NAME=VALUE`,
				{
					field: flag,
				},
			);
		}

		pairs.set(part.slice(0, at), part.slice(at + 1));
	}

	return pairs;
}

/**
 * Checks a number.
 * @throws ProblemError `invalid-setting` naming the flag and what is allowed
 */
export function checkInteger(
	flag: string,
	value: unknown,
	min: number,
	max: number,
): number {
	if (
		typeof value !== 'number' ||
		!Number.isInteger(value) ||
		value < min ||
		value > max
	) {
		throw new ProblemError(
			'invalid-setting',
			`--${flag} allows: whole numbers from ${min} to ${max}`,
			{field: flag},
		);
	}

	return value;
}
