#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {ProblemError} from '../common/index.js';
import {explainRequest, parseLog} from '../decisions/explain/index.js';
import {createCommandLine, runProgram} from './command-line.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-explain')
		.usage(
			'$0 --log FILE --request ID: prints what explains the outcome of a request',
		)
		.options({
			log: {
				type: 'string',
				demandOption: true,
				describe: 'file with log lines of front daemons, in any order',
			},
			request: {
				type: 'string',
				demandOption: true,
				describe: 'id of the request, as the caller sent it',
			},
		})
		.completion()
		.parseAsync();
	const records = explainRequest(
		parseLog(readFileSync(flags.log, 'utf8')),
		flags.request,
	);
	if (records.length === 0) {
		throw new ProblemError(
			'not-found',
			`request "${flags.request}" is not in the log`,
			{field: 'request'},
		);
	}

	// One write, since a reader such as `head` may close the pipe after the first lines.
	process.stdout.write(
		records
			.map(
				({program: _, level: __, ...record}) => `${JSON.stringify(record)}\n`,
			)
			.join(''),
	);
});
