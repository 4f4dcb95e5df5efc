import {Writable} from 'node:stream';

/** Output for log lines that neither blocks nor fails if its reader is slow or has closed the pipe. */
export type BoundedOutput = {
	readonly stream: Writable;
	/** Number of lines that were dropped. */
	readonly droppedCount: number;
};

/** What to do when an output fails, by output; loggers of one process share its standard output. */
const failureListeners = new WeakMap<Writable, Array<() => void>>();

/** Adds at most one listener to an output, however many loggers write to it. */
function onFailure(output: Writable, listener: () => void) {
	const listeners = failureListeners.get(output);
	if (listeners) {
		listeners.push(listener);
		return;
	}

	const created = [listener];
	failureListeners.set(output, created);
	output.on('error', () => {
		for (const each of created) {
			each();
		}
	});
}

/**
 * Wraps an output so that writing never waits for its reader: while the backlog is over its limit, lines
 * are dropped. The first line that is written after that is preceded by one with the number of dropped lines.
 * @param output - stream whose writes don't block, for example `process.stdout`
 * @param maxBacklogBytes - bytes that may be buffered for the reader
 */
export function createBoundedOutput(
	output: Writable,
	maxBacklogBytes: number,
): BoundedOutput {
	let droppedCount = 0;
	let unreportedCount = 0;
	// An error means that the reader has closed the pipe; the process continues without its log.
	onFailure(output, () => {
		unreportedCount++;
	});

	const stream = new Writable({
		decodeStrings: false,
		write(line: string | Uint8Array, _encoding, callback) {
			if (output.writableLength > maxBacklogBytes || output.destroyed) {
				droppedCount++;
				unreportedCount++;
			} else {
				if (unreportedCount > 0) {
					const dropReport = {
						level: 'warn',
						message: 'log lines dropped',
						count: unreportedCount,
					};
					unreportedCount = 0;
					output.write(`${JSON.stringify(dropReport)}\n`);
				}

				output.write(line);
			}

			callback();
		},
	});
	return {
		stream,
		get droppedCount() {
			return droppedCount;
		},
	};
}
