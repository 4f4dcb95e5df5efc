import type {PartCrash} from './types.js';

/** Numbers of crashes that raise a suspicion. */
type SuspicionThresholds = {
	/** Crashes one after the other, each under a request sent after the one before. */
	readonly sequential: number;
	/**
	 * Crashes at different times, although their requests were sent before the first of them, as when
	 * requests wait long in the engines.
	 */
	readonly spaced: number;
};

const usualThresholds: SuspicionThresholds = {sequential: 3, spaced: 5};
/** For parts that were sound shortly before; such a part was probably beside the cause. */
const recentlySoundThresholds: SuspicionThresholds = {
	sequential: 5,
	spaced: 7,
};
/** Time before the first crash in which a first event counts as recent, in milliseconds. */
const recentlySoundMs = 30_000;
/** Engines that end within this time may have ended together, for example with a rack, in milliseconds. */
const minSpacingMs = 100;
/** A series of crashes that is shorter may have one cause, such as a failing zone, in milliseconds. */
const minSpanMs = 1000;

/** Counts crashes from the first on, leaving out those that do not follow the one counted before. */
function countSuccessive(
	crashes: readonly PartCrash[],
	follows: (crash: PartCrash, previous: PartCrash) => boolean,
): number {
	let count = 0;
	let previous: PartCrash | undefined;
	for (const crash of crashes) {
		if (!previous || follows(crash, previous)) {
			previous = crash;
			count++;
		}
	}

	return count;
}

/**
 * True if crashes under a prompt part, without a first event of a request with it between them, are too
 * many to have another cause.
 * @param crashes - in the order of time
 * @param lastFirstEventMs - monotonic time of the last known first event of a request with the part, in
 *   milliseconds; -Infinity if there is none
 */
export function areSuspicious(
	crashes: readonly PartCrash[],
	lastFirstEventMs: number,
): boolean {
	const [first] = crashes;
	const last = crashes.at(-1);
	if (!last || last.atMs - first.atMs < minSpanMs) {
		return false;
	}

	const wasRecentlySound = first.atMs - lastFirstEventMs < recentlySoundMs;
	const thresholds = wasRecentlySound
		? recentlySoundThresholds
		: usualThresholds;
	const sequentialCount = countSuccessive(
		crashes,
		(crash, previous) => crash.sentMs >= previous.atMs,
	);
	const spacedCount = countSuccessive(
		crashes,
		(crash, previous) => crash.atMs >= previous.atMs + minSpacingMs,
	);
	return (
		sequentialCount >= thresholds.sequential || spacedCount >= thresholds.spaced
	);
}
