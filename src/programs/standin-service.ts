#!/usr/bin/env node
import {createServiceServer} from '../standins/index.js';
import {checkInteger, createCommandLine, runProgram} from './command-line.js';
import {listenOptions} from './listen-options.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-standin-service')
		.usage('$0: stand-in for a plain service, for demonstrations and tests')
		.options({
			...listenOptions,
			'delay-ms': {
				type: 'number',
				default: 20,
				describe: 'time that a call takes, in ms',
			},
		})
		.parseAsync();
	const server = createServiceServer({
		delayMs: checkInteger('delay-ms', flags['delay-ms'], 0, 60_000),
	});
	server.listen(flags['listen-port'], flags['listen-address']);
});
