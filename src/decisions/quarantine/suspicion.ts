import {samePointLimit} from './response-point.js';
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

/** For crashes at the same point of the response, as of a request that ends engines. */
const usualThresholds: SuspicionThresholds = {sequential: 3, spaced: 5};
/** For parts that were sound shortly before; such a part was probably beside the cause. */
const recentlySoundThresholds: SuspicionThresholds = {
	sequential: 5,
	spaced: 7,
};
/**
 * Thresholds for crashes at any points of the response, as a multiple: engines that end for other reasons
 * interrupt the requests that run there at different points.
 */
const scatteredFactor = 2;
/** Time before the first crash in which a whole response counts as recent, in milliseconds. */
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

/** The largest group of crashes at the same point of the response, in the order of time. */
function crashesAtSamePoint(
	crashes: readonly PartCrash[],
): readonly PartCrash[] {
	let largest: readonly PartCrash[] = [];
	for (const {eventCount: from} of crashes) {
		const to = samePointLimit(from);
		const group = crashes.filter(
			({eventCount}) => eventCount >= from && eventCount <= to,
		);
		if (group.length > largest.length) {
			largest = group;
		}
	}

	return largest;
}

function reaches(
	{sequential, spaced}: SuspicionThresholds,
	crashes: readonly PartCrash[],
	factor: number,
): boolean {
	const sequentialCount = countSuccessive(
		crashes,
		(crash, previous) => crash.sentMs >= previous.atMs,
	);
	const spacedCount = countSuccessive(
		crashes,
		(crash, previous) => crash.atMs >= previous.atMs + minSpacingMs,
	);
	return (
		sequentialCount >= sequential * factor || spacedCount >= spaced * factor
	);
}

/**
 * True if crashes under a prompt part, without a whole response to a request with it between them, are too
 * many to have another cause.
 * @param crashes - in the order of time
 * @param lastWholeResponseMs - monotonic time of the last known whole response to a request with the part, in
 *   milliseconds; -Infinity if there is none
 */
export function areSuspicious(
	crashes: readonly PartCrash[],
	lastWholeResponseMs: number,
): boolean {
	const [first] = crashes;
	const last = crashes.at(-1);
	if (!last || last.atMs - first.atMs < minSpanMs) {
		return false;
	}

	const wasRecentlySound = first.atMs - lastWholeResponseMs < recentlySoundMs;
	const thresholds = wasRecentlySound
		? recentlySoundThresholds
		: usualThresholds;
	return (
		reaches(thresholds, crashesAtSamePoint(crashes), 1) ||
		reaches(thresholds, crashes, scatteredFactor)
	);
}
