/** Collects writes and runs them together once the event loop has handled its input. */
export type TurnFlusher = {
	/** @param flush - called once before the event loop waits again */
	schedule(flush: () => void): void;
};

/**
 * Creates a flusher with nothing scheduled. One immediate for all streams replaces a microtask for
 * each chunk, which needs an async resource and a callback scope of its own.
 */
export function createTurnFlusher(): TurnFlusher {
	let scheduled: Array<() => void> = [];
	const run = () => {
		const flushes = scheduled;
		scheduled = [];
		for (const flush of flushes) {
			flush();
		}
	};

	return {
		schedule(flush) {
			if (scheduled.length === 0) {
				setImmediate(run);
			}

			scheduled.push(flush);
		},
	};
}
