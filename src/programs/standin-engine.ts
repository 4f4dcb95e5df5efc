#!/usr/bin/env node
import {createEngineServer} from '../standins/index.js';
import {checkInteger, createCommandLine, runProgram} from './command-line.js';
import {listenOptions} from './listen-options.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-standin-engine')
		.usage('$0: stand-in for a model engine, for demonstrations and tests')
		.options({
			...listenOptions,
			models: {
				type: 'string',
				demandOption: true,
				describe: 'NAME,NAME of the loaded models',
			},
			'capacity-tokens': {
				type: 'number',
				default: 100_000,
				describe: 'memory, in tokens',
			},
			'max-running': {
				type: 'number',
				default: 64,
				describe: 'generations that decode together',
			},
			'step-base-ms': {
				type: 'number',
				default: 10,
				describe: 'time of one decoding step, in ms',
			},
			'refuses-old-orders': {
				type: 'boolean',
				default: false,
				describe: 'refuse old fencing numbers',
			},
			'report-lag-ms': {
				type: 'number',
				default: 500,
				describe: 'age of load reports, in ms',
			},
			'retain-ms': {
				type: 'number',
				default: 60_000,
				describe: 'how long ended generations can be resumed, in ms',
			},
		})
		.parseAsync();
	const server = createEngineServer({
		models: flags.models.split(','),
		capacityTokens: checkInteger(
			'capacity-tokens',
			flags['capacity-tokens'],
			1,
			100_000_000,
		),
		maxRunning: checkInteger('max-running', flags['max-running'], 1, 10_000),
		stepBaseMs: checkInteger('step-base-ms', flags['step-base-ms'], 0, 10_000),
		stepPerRunningMs: 0.05,
		prefillPerTokenMs: 0.02,
		cacheTokens: 50_000,
		refusesOldOrders: flags['refuses-old-orders'],
		reportLagMs: checkInteger(
			'report-lag-ms',
			flags['report-lag-ms'],
			0,
			60_000,
		),
		retainMs: checkInteger('retain-ms', flags['retain-ms'], 0, 3_600_000),
	});
	server.listen(flags['listen-port'], flags['listen-address']);
});
