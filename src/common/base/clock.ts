/** Source of time. Code in `decisions/` takes times as values; only adapters and programs read a clock. */
export abstract class Clock {
	/** Monotonic time in milliseconds since an arbitrary origin. */
	abstract nowMs(): number;

	/** Wall-clock time in milliseconds since the Unix epoch. May jump forwards or backwards. */
	abstract wallMs(): number;
}
