#!/usr/bin/env node
import process from 'node:process';
import {runProgram} from './command-line.js';
import {createFront} from './front/create-front.js';
import {readFrontSettings} from './front/front-settings.js';

await runProgram(async () => {
	const settings = await readFrontSettings();
	if (settings.checkOnly) {
		return;
	}

	const front = await createFront(settings);
	process.on('uncaughtException', front.reportUnexpected);
	process.on('unhandledRejection', front.reportUnexpected);
	const stop = async () => {
		await front.stop();
		process.exit(0);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}

	process.on('SIGHUP', () => {
		front.reload();
	});
});
