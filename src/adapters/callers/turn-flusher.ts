/** Collects the pending writes of all streams and runs them together at the end of a turn of the event loop. */
export type TurnFlusher = {
	/** @param flush - called once, before the event loop waits for input again */
	schedule(flush: () => void): void;
};

/**
 * Creates a flusher that uses one `setImmediate` for all streams. A microtask for each chunk would need an
 * async resource and a callback scope of its own.
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
