import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {bootFileVariable} from '../../platform/index.js';
import {killOnExit} from './child-processes.js';

/** Program, boot file and lifecycle callbacks of a front daemon. */
export type FrontProcessOptions = {
	/** Path of the compiled program. */
	readonly program: string;
	/** Path of the boot file, passed in the environment. */
	readonly bootFilePath: string;
	/** Flags besides those of every run. */
	readonly flags?: readonly string[];
	/** Limit of the heap, in megabytes; that of a deployed VM if absent. */
	readonly maxHeapMb?: number;
	/** Port of the metrics page; none if absent. */
	readonly metricsPort?: number;
	/** Called after each spawn, restarts included. */
	readonly onStart: () => void;
	/** Called when the process has exited. */
	readonly onEnd: (end: ProcessEnd) => void;
};

/** Exit of a process. */
export type ProcessEnd = {
	/** True if the process exited without a call of `FrontProcess.end`. */
	readonly isUnexpected: boolean;
	/** Name of the signal, or the exit code. */
	readonly cause: string;
	/**
	 * CPU time used when `FrontProcess.signal` was last called, in milliseconds; 0 if it was not.
	 */
	readonly signalledCpuMs: number;
};

/** A front daemon that runs as a child process and is restarted after unexpected exits. */
export type FrontProcess = {
	/** Undefined while the process is not running. */
	readonly pid: number | undefined;
	/** Last lines of its standard output and standard error, each with its time, oldest first. */
	readonly lines: readonly string[];
	/** Starts the process if it is not running, and restarts it after every unexpected exit. */
	start(): void;
	/** Sends a signal, without expecting the process to exit. */
	signal(name: NodeJS.Signals): void;
	/**
	 * Sends a signal that ends the process, and SIGKILL once the grace period has passed.
	 * @returns resolves when the process has exited
	 */
	end(name: NodeJS.Signals, graceMs: number): Promise<void>;
};

const maxLines = 4000;
const deployedMaxHeapMb = 96;
/** Delay of the restart after an unexpected exit, in place of the platform, in milliseconds. */
const restartDelayMs = 300;

const millisecondsPerTick = 10;
/** Indexes of user and system time, in ticks, in `/proc/PID/stat` after the process name. */
const cpuTimeFields = [11, 12] as const;

/** User and system CPU time of a process, in milliseconds. */
function readCpuMs(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return cpuTimeFields.reduce(
		(sum, field) => sum + Number(fields[field]) * millisecondsPerTick,
		0,
	);
}

/** Creates a front daemon without starting it. */
export function createFrontProcess(options: FrontProcessOptions): FrontProcess {
	const lines: string[] = [];
	const expectedToExit = new WeakSet<ChildProcess>();
	let child: ChildProcess | undefined;
	let restartTimer: NodeJS.Timeout | undefined;
	let signalledCpuMs = 0;

	const recordLine = (line: string) => {
		lines.push(`${Math.round(performance.now())} ${line}`);
		lines.splice(0, Math.max(0, lines.length - maxLines));
	};

	const start = () => {
		if (child) {
			return;
		}

		const started = spawn(
			process.execPath,
			[
				`--max-old-space-size=${options.maxHeapMb ?? deployedMaxHeapMb}`,
				'--max-semi-space-size=2',
				options.program,
				'--metrics-port',
				String(options.metricsPort ?? 0),
				...(options.flags ?? []),
			],
			{
				env: {...process.env, [bootFileVariable]: options.bootFilePath},
				stdio: ['ignore', 'pipe', 'pipe'],
			},
		);
		child = started;
		signalledCpuMs = 0;
		killOnExit(started);
		for (const output of [started.stdout, started.stderr]) {
			createInterface({input: output}).on('line', recordLine);
		}

		options.onStart();
		started.once('exit', (code, signal) => {
			child = undefined;
			const cause = String(signal ?? code);
			const isUnexpected = !expectedToExit.has(started);
			recordLine(`process ended with ${cause}`);
			options.onEnd({isUnexpected, cause, signalledCpuMs});
			if (isUnexpected) {
				restartTimer = setTimeout(start, restartDelayMs);
			}
		});
	};

	return {
		get pid() {
			return child?.pid;
		},
		lines,
		start,
		signal(name) {
			if (child?.pid !== undefined) {
				signalledCpuMs = readCpuMs(child.pid);
				child.kill(name);
			}
		},
		async end(name, graceMs) {
			clearTimeout(restartTimer);
			const current = child;
			if (!current) {
				return;
			}

			expectedToExit.add(current);
			const exited = once(current, 'exit');
			current.kill(name);
			// A process that SIGSTOP has paused handles other signals only once it continues.
			current.kill('SIGCONT');
			const killTimer = setTimeout(() => {
				current.kill('SIGKILL');
			}, graceMs);
			await exited;
			clearTimeout(killTimer);
		},
	};
}
