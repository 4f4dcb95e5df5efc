import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {bootFileVariable} from '../../platform/index.js';
import {endWithThisProcess} from './child-processes.js';

/** How a front daemon is started. */
export type FrontProcessOptions = {
	/** File of the compiled program. */
	readonly program: string;
	readonly bootFile: string;
	/** The process was started, or has ended. */
	readonly onChange: (isRunning: boolean) => void;
};

/** A front daemon in a process of its own. */
export type FrontProcess = {
	readonly isRunning: boolean;
	/** Last lines that it wrote, oldest first. */
	readonly lines: readonly string[];
	start(): void;
	signal(name: NodeJS.Signals): void;
	/** Ends the process, by force if it does not end in time. */
	end(name: NodeJS.Signals, graceMs: number): Promise<void>;
};

const maxLines = 4000;

/** Creates a daemon that is not running yet. */
export function createFrontProcess(options: FrontProcessOptions): FrontProcess {
	const lines: string[] = [];
	let child: ChildProcess | undefined;

	const note = (line: string) => {
		lines.push(`${Math.round(performance.now())} ${line}`);
		lines.splice(0, Math.max(0, lines.length - maxLines));
	};

	return {
		lines,
		get isRunning() {
			return child !== undefined;
		},
		start() {
			if (child) {
				return;
			}

			const started = spawn(
				process.execPath,
				['--max-old-space-size=96', options.program, '--metrics-port', '0'],
				{
					env: {...process.env, [bootFileVariable]: options.bootFile},
					stdio: ['ignore', 'pipe', 'pipe'],
				},
			);
			child = started;
			endWithThisProcess(started);
			for (const output of [started.stdout, started.stderr]) {
				createInterface({input: output}).on('line', note);
			}

			options.onChange(true);
			started.once('exit', (code, signal) => {
				child = undefined;
				note(`process ended with ${signal ?? code}`);
				options.onChange(false);
			});
		},
		signal(name) {
			child?.kill(name);
		},
		async end(name, graceMs) {
			const ending = child;
			if (!ending) {
				return;
			}

			const exited = once(ending, 'exit');
			ending.kill(name);
			// A paused process handles no signal.
			ending.kill('SIGCONT');
			const force = setTimeout(() => {
				ending.kill('SIGKILL');
			}, graceMs);
			await exited;
			clearTimeout(force);
		},
	};
}
