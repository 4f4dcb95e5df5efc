import {Writable} from 'node:stream';

/** Output whose reader may be slow or gone. */
export type BoundedOutput = {
	readonly stream: Writable;
	/** Lines that were left out because the reader did not keep up. */
	readonly droppedCount: number;
};

/**
 * Wraps an output so that writing never waits for its reader: lines beyond a backlog are dropped,
 * and a line tells how many once there is room again.
 * @param output - stream that writes without blocking, for example the one of standard output
 * @param maxBacklogBytes - bytes that may wait for the reader
 */
export function createBoundedOutput(
	output: Writable,
	maxBacklogBytes: number,
): BoundedOutput {
	let droppedCount = 0;
	let unreportedCount = 0;
	// A reader that is gone closes the pipe; logging goes on without it.
	output.on('error', () => {
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
					const note = {
						level: 'warn',
						message: 'log lines dropped',
						count: unreportedCount,
					};
					unreportedCount = 0;
					output.write(`${JSON.stringify(note)}\n`);
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
