import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {bootFileVariable} from '../../platform/index.js';
import {killOnExit} from './child-processes.js';

/** How a front daemon is started. */
export type FrontProcessOptions = {
	/** File of the compiled program. */
	readonly program: string;
	readonly bootFilePath: string;
	readonly onStart: () => void;
	readonly onEnd: (end: ProcessEnd) => void;
};

/** How a process ended. */
export type ProcessEnd = {
	/** True if nobody ended it. */
	readonly isUnexpected: boolean;
	/** Signal or exit code. */
	readonly cause: string;
	/** Processor time that it had used at its last signal, in milliseconds; 0 if there was none. */
	readonly signalledCpuMs: number;
};

/** A front daemon in a process of its own. */
export type FrontProcess = {
	/** Last lines that it wrote, oldest first. */
	readonly lines: readonly string[];
	/** Starts the process, and again whenever it ends by itself. */
	start(): void;
	signal(name: NodeJS.Signals): void;
	/** Ends the process, by force if it does not end in time. */
	end(name: NodeJS.Signals, graceMs: number): Promise<void>;
};

const maxLines = 4000;
/** The platform starts a process that ended after a short delay, in milliseconds. */
const restartMs = 300;

const millisecondsPerTick = 10;
/** Fields of `/proc/PID/stat` after the name: user and system time, in ticks. */
const cpuFields = [11, 12] as const;

/** Processor time that a process has used, in milliseconds. */
function cpuMsOf(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return cpuFields.reduce(
		(sum, field) => sum + Number(fields[field]) * millisecondsPerTick,
		0,
	);
}

/** Creates a daemon that is not running yet. */
export function createFrontProcess(options: FrontProcessOptions): FrontProcess {
	const lines: string[] = [];
	const ending = new WeakSet<ChildProcess>();
	let child: ChildProcess | undefined;
	let restart: NodeJS.Timeout | undefined;
	let signalledCpuMs = 0;

	const note = (line: string) => {
		lines.push(`${Math.round(performance.now())} ${line}`);
		lines.splice(0, Math.max(0, lines.length - maxLines));
	};

	const start = () => {
		if (child) {
			return;
		}

		const started = spawn(
			process.execPath,
			['--max-old-space-size=96', options.program, '--metrics-port', '0'],
			{
				env: {...process.env, [bootFileVariable]: options.bootFilePath},
				stdio: ['ignore', 'pipe', 'pipe'],
			},
		);
		child = started;
		signalledCpuMs = 0;
		killOnExit(started);
		for (const output of [started.stdout, started.stderr]) {
			createInterface({input: output}).on('line', note);
		}

		options.onStart();
		started.once('exit', (code, signal) => {
			child = undefined;
			const cause = String(signal ?? code);
			const isUnexpected = !ending.has(started);
			note(`process ended with ${cause}`);
			options.onEnd({isUnexpected, cause, signalledCpuMs});
			if (isUnexpected) {
				restart = setTimeout(start, restartMs);
			}
		});
	};

	return {
		lines,
		start,
		signal(name) {
			if (child?.pid !== undefined) {
				signalledCpuMs = cpuMsOf(child.pid);
				child.kill(name);
			}
		},
		async end(name, graceMs) {
			clearTimeout(restart);
			const current = child;
			if (!current) {
				return;
			}

			ending.add(current);
			const exited = once(current, 'exit');
			current.kill(name);
			// A paused process handles no signal.
			current.kill('SIGCONT');
			const force = setTimeout(() => {
				current.kill('SIGKILL');
			}, graceMs);
			await exited;
			clearTimeout(force);
		},
	};
}
