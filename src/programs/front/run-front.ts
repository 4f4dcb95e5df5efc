#!/usr/bin/env node
import process from 'node:process';
// Imported first, so that the signal is handled while the other modules are evaluated.
import {reloadSignal} from '../reload-signal.js';
import {runProgram} from '../command-line.js';
import {createFront} from './create-front.js';
import {readFrontSettings} from './front-settings.js';

async function start(): Promise<void> {
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
		// Stays installed: without a listener a second signal would end the process and cut off its requests.
		process.on(signal, () => {
			void stop();
		});
	}

	reloadSignal.setHandler(front.reload);
}

async function main(): Promise<void> {
	await runProgram(start);
	// A daemon that failed to start must not keep running half initialized; the platform restarts it.
	if (process.exitCode) {
		process.exit();
	}
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is a CommonJS script
void main();
