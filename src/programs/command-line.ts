import process from 'node:process';
import yargs, {type Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {ProblemError, toProblem} from '../common/index.js';
import {exitCodes} from './exit-codes.js';
import {programVersion} from './program-version.js';

/**
 * Creates the command-line parser of a program; the caller adds the program's flags. Every flag can
 * also be set by an environment variable that is prefixed with the program's name, for example
 * `COWSLIP_ENTRY_LISTEN_PORT` for `cowslip-entry --listen-port`. The prefix differs between programs
 * because each rejects variables with its prefix that match none of its flags.
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

/**
 * Runs the main function of a program. If it fails, writes the problem to standard error as one line
 * of JSON and sets the exit code.
 */
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
 * Parses a flag value of the form `name=value,name=value`. Empty parts between commas are ignored.
 * @param flag - name of the flag, for the error
 * @throws ProblemError `invalid-setting`, with the flag as its field, if a part lacks its name or value
 */
export function parsePairs(
	flag: string,
	text: string,
): ReadonlyMap<string, string> {
	const pairs = new Map<string, string>();
	for (const part of text.split(',').filter((item) => item !== '')) {
		const separatorIndex = part.indexOf('=');
		if (separatorIndex < 1 || separatorIndex === part.length - 1) {
			throw new ProblemError(
				'invalid-setting',
				`--${flag} must have the form NAME=VALUE,NAME=VALUE`,
				{
					field: flag,
				},
			);
		}

		pairs.set(part.slice(0, separatorIndex), part.slice(separatorIndex + 1));
	}

	return pairs;
}

/**
 * Checks that the value of a flag is an integer from `min` to `max`, and returns it.
 * @param flag - name of the flag, for the error
 * @throws ProblemError `invalid-setting`, with the flag as its field and the range in its message
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
			`--${flag} must be an integer from ${min} to ${max}`,
			{field: flag},
		);
	}

	return value;
}
