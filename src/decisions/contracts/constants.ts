/** Length of a calendar minute, in milliseconds. */
export const minuteMs = 60_000;

/** Calendar minute of a wall-clock time, counted from the Unix epoch. */
export function minuteOf(wallMs: number): number {
	return Math.floor(wallMs / minuteMs);
}
