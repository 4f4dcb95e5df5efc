import {type ChildProcess} from 'node:child_process';
import process from 'node:process';

const children = new Set<ChildProcess>();
const terminationSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
/** Exit code of a shell for a program ended by a signal, without the signal's number. */
const signalExitCode = 128;

function killAll() {
	for (const child of children) {
		child.kill('SIGKILL');
	}
}

function installHandlers() {
	process.once('exit', killAll);
	for (const signal of terminationSignals) {
		process.once(signal, () => {
			process.exit(signalExitCode);
		});
	}
}

/** Kills a child process when this process exits, also on SIGINT, SIGTERM or SIGHUP. */
export function killOnExit(child: ChildProcess): void {
	if (children.size === 0 && !process.listeners('exit').includes(killAll)) {
		installHandlers();
	}

	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
}
