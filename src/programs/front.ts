#!/usr/bin/env node
import process from 'node:process';

// The signal would end a process that does not handle it, and reading the modules takes a while.
let isReloadDue = false;
let reload = () => {
	isReloadDue = true;
};

process.on('SIGHUP', () => {
	reload();
});

const [{runProgram}, {createFront}, {readFrontSettings}] = await Promise.all([
	import('./command-line.js'),
	import('./front/create-front.js'),
	import('./front/front-settings.js'),
]);

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

	reload = front.reload;
	if (isReloadDue) {
		front.reload();
	}
});
