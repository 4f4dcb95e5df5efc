import type {Clock} from '../../common/index.js';

/** What the latest observation of a target has shown. */
export type Observation<T> = {
	/** Undefined if the target does not say it any more. */
	readonly value: T | undefined;
	/** Monotonic time, in milliseconds; of two observations the later one holds. */
	readonly observedMs: number;
};

/** Observations of one kind, by target. Responses may overtake each other on different connections. */
export type Observations<T> = {
	get(targetId: string): T | undefined;
	/**
	 * Records that a target says something, as of now.
	 * @returns the value that held before
	 */
	set(targetId: string, value: T): T | undefined;
	/**
	 * Records that a target does not say it in its response to a request. Only a response to a request that
	 * was sent after the target had said it shows that it no longer holds.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 * @returns the value that held before, if it ends
	 */
	end(targetId: string, sentMs: number): T | undefined;
	/** @returns the value that held before */
	remove(targetId: string): T | undefined;
};

export function createObservations<T>(clock: Clock): Observations<T> {
	const latest = new Map<string, Observation<T>>();
	const get = (targetId: string) => latest.get(targetId)?.value;

	return {
		get,
		set(targetId, value) {
			const previous = get(targetId);
			latest.set(targetId, {value, observedMs: clock.nowMs()});
			return previous;
		},
		end(targetId, sentMs) {
			const previous = latest.get(targetId);
			if (previous?.value === undefined || sentMs <= previous.observedMs) {
				return undefined;
			}

			latest.delete(targetId);
			return previous.value;
		},
		remove(targetId) {
			const previous = get(targetId);
			latest.delete(targetId);
			return previous;
		},
	};
}
