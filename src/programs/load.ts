#!/usr/bin/env node
import process from 'node:process';
import {SeededRandomSource} from '../common/index.js';
import {runLoad} from '../experiments/load/index.js';
import {checkInteger, createCommandLine, runProgram} from './command-line.js';

await runProgram(async () => {
	const flags = await createCommandLine('cowslip-load')
		.usage(
			'$0: sends generation and booking requests to entry VMs for a limited time',
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
			model: {
				type: 'string',
				demandOption: true,
				describe: 'model that the generations use',
			},
			class: {
				type: 'string',
				default: 'default',
				describe: 'request class of the generations',
			},
			delivery: {
				choices: ['whole', 'restartable', 'live'] as const,
				default: 'restartable' as const,
				describe: 'delivery mode of the generations',
			},
			'generations-per-second': {
				type: 'number',
				default: 5,
				describe: 'mean number of generation requests per second',
			},
			'bookings-per-second': {
				type: 'number',
				default: 0,
				describe: 'mean number of booking requests per second',
			},
			service: {
				type: 'string',
				default: '',
				describe: 'plain service that receives the bookings',
			},
			'duration-ms': {
				type: 'number',
				default: 10_000,
				describe: 'how long requests are sent, in ms',
			},
			'max-in-flight': {
				type: 'number',
				default: 500,
				describe:
					'largest number of requests in flight; requests due beyond it are skipped',
			},
			seed: {
				type: 'number',
				default: 1,
				describe: 'random seed of arrival times and prompts',
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
