import {type ChildProcess} from 'node:child_process';
import process from 'node:process';

const children = new Set<ChildProcess>();
const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
/** Exit code of a shell for a program that a signal ended, without the signal's number. */
const signalExitCode = 128;

function endAll() {
	for (const child of children) {
		child.kill('SIGKILL');
	}
}

function install() {
	process.once('exit', endAll);
	for (const signal of endingSignals) {
		process.once(signal, () => {
			process.exit(signalExitCode);
		});
	}
}

/** Has a process end with this one, also when this one is interrupted. */
export function killOnExit(child: ChildProcess): void {
	if (children.size === 0 && !process.listeners('exit').includes(endAll)) {
		install();
	}

	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
}
