#!/usr/bin/env node
import {createPlatformServer} from '../standins/index.js';
import {checkInteger, createCommandLine, runProgram} from './command-line.js';
import {listenOptions} from './listen-options.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-standin-platform')
		.usage('$0: stand-in for the platform, for demonstrations and tests')
		.options({
			...listenOptions,
			'table-delay-ms': {
				type: 'number',
				default: 2,
				describe: 'delay of the table service, in ms',
			},
			'vm-list-lag-ms': {
				type: 'number',
				default: 1000,
				describe: 'age of the VM list, in ms',
			},
			'weight-bytes-per-second': {
				type: 'number',
				default: 1_000_000_000,
				describe: 'rate of the weight store, in bytes/s',
			},
		})
		.parseAsync();
	const server = createPlatformServer({
		tableDelayMs: checkInteger(
			'table-delay-ms',
			flags['table-delay-ms'],
			0,
			60_000,
		),
		vmListLagMs: checkInteger(
			'vm-list-lag-ms',
			flags['vm-list-lag-ms'],
			0,
			600_000,
		),
		weightBytesPerSecond: checkInteger(
			'weight-bytes-per-second',
			flags['weight-bytes-per-second'],
			1,
			1e12,
		),
	});
	server.listen(flags['listen-port'], flags['listen-address']);
});
