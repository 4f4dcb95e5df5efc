#!/usr/bin/env node
import process from 'node:process';
import {runProgram} from './command-line.js';
import {createEntry} from './entry/create-entry.js';
import {readEntrySettings} from './entry/settings.js';

await runProgram(async () => {
	const daemon = await createEntry(await readEntrySettings());
	process.on('uncaughtException', daemon.logUnexpectedError);
	process.on('unhandledRejection', daemon.logUnexpectedError);
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void daemon.stop();
		});
	}
});
