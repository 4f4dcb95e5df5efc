import type {Clock} from '../../common/index.js';

/** What the latest observation of a target has shown. */
export type Observation<T> = {
	/** Undefined if the target does not say it any more. */
	readonly value: T | undefined;
	/** Monotonic time, in milliseconds; of two observations the later one holds. */
	readonly observedMs: number;
};

/** Observations of one kind, by incarnation of the target. Responses may overtake each other on different connections. */
export type Observations<T> = {
	get(incarnation: string): T | undefined;
	/**
	 * Records that a target says something, as of now.
	 * @returns the value that held before
	 */
	set(incarnation: string, value: T): T | undefined;
	/**
	 * Records that a target does not say it in its response to a request. Only a response to a request that
	 * was sent after the target had said it shows that it no longer holds.
	 * @param sentMs - monotonic time at which the request was sent, in milliseconds
	 * @returns the value that held before, if it ends
	 */
	end(incarnation: string, sentMs: number): T | undefined;
	remove(incarnation: string): void;
};

export function createObservations<T>(clock: Clock): Observations<T> {
	const latest = new Map<string, Observation<T>>();
	const get = (incarnation: string) => latest.get(incarnation)?.value;

	return {
		get,
		set(incarnation, value) {
			const previous = get(incarnation);
			latest.set(incarnation, {value, observedMs: clock.nowMs()});
			return previous;
		},
		end(incarnation, sentMs) {
			const previous = latest.get(incarnation);
			if (previous?.value === undefined || sentMs <= previous.observedMs) {
				return undefined;
			}

			latest.delete(incarnation);
			return previous.value;
		},
		remove(incarnation) {
			latest.delete(incarnation);
		},
	};
}
