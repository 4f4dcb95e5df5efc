#!/usr/bin/env node
import process from 'node:process';
import {SeededRandomSource} from '../common/index.js';
import {runLoad} from '../experiments/load/index.js';
import {checkInteger, createCommandLine, runProgram} from './command-line.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-load')
		.usage(
			'$0: offers generations and bookings to entry VMs for a bounded time',
		)
		.options({
			entry: {
				type: 'array',
				string: true,
				demandOption: true,
				describe: 'URL of an entry VM, may be repeated',
			},
			token: {
				type: 'string',
				demandOption: true,
				describe: 'bearer token of the client account',
			},
			model: {type: 'string', demandOption: true, describe: 'model to ask'},
			class: {
				type: 'string',
				default: 'default',
				describe: 'class of the requests',
			},
			delivery: {
				choices: ['whole', 'restartable', 'live'] as const,
				default: 'restartable' as const,
				describe: 'how answers are delivered',
			},
			'generations-per-second': {
				type: 'number',
				default: 5,
				describe: 'mean rate of generations',
			},
			'bookings-per-second': {
				type: 'number',
				default: 0,
				describe: 'mean rate of bookings',
			},
			service: {
				type: 'string',
				default: '',
				describe: 'plain service that takes the bookings',
			},
			'duration-ms': {
				type: 'number',
				default: 10_000,
				describe: 'how long load is offered, in ms',
			},
			'max-in-flight': {
				type: 'number',
				default: 500,
				describe: 'calls in flight above which arrivals are skipped',
			},
			seed: {
				type: 'number',
				default: 1,
				describe: 'seed of arrivals and prompts',
			},
		})
		.parseAsync();
	const report = await runLoad({
		entryUrls: flags.entry,
		token: flags.token,
		model: flags.model,
		requestClass: flags.class,
		delivery: flags.delivery,
		generationsPerSecond: checkInteger(
			'generations-per-second',
			flags['generations-per-second'],
			0,
			10_000,
		),
		bookingsPerSecond: checkInteger(
			'bookings-per-second',
			flags['bookings-per-second'],
			0,
			10_000,
		),
		service: flags.service,
		durationMs: checkInteger('duration-ms', flags['duration-ms'], 1, 3_600_000),
		maxInFlight: checkInteger('max-in-flight', flags['max-in-flight'], 1, 5000),
		random: new SeededRandomSource(
			checkInteger('seed', flags.seed, 0, 2 ** 31 - 1),
		),
	});
	process.stdout.write(`${JSON.stringify(report)}\n`);
});
