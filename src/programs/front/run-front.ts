#!/usr/bin/env node
import process from 'node:process';
// Before the other modules, so that the signal is handled while they are evaluated.
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
		process.once(signal, () => {
			void stop();
		});
	}

	reloadSignal.setHandler(front.reload);
}

async function main(): Promise<void> {
	await runProgram(start);
	// A daemon that did not start must not stay half alive; the platform starts it again.
	if (process.exitCode) {
		process.exit();
	}
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the joined file is a script
void main();
