import type {PartCrash} from './types.js';

/** Crashes one after the other, each under a request sent after the one before, that raise a suspicion. */
const minSequentialCrashes = 3;
/**
 * Crashes at different times that raise a suspicion although their requests were sent before the first of
 * them, as when requests wait long in the engines.
 */
const minSpacedCrashes = 5;
/** Engines that end within this time may have ended together, for example with a rack, in milliseconds. */
const minSpacingMs = 100;

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
 */
export function areSuspicious(crashes: readonly PartCrash[]): boolean {
	const sequentialCount = countSuccessive(
		crashes,
		(crash, previous) => crash.sentMs >= previous.atMs,
	);
	const spacedCount = countSuccessive(
		crashes,
		(crash, previous) => crash.atMs >= previous.atMs + minSpacingMs,
	);
	return (
		sequentialCount >= minSequentialCrashes || spacedCount >= minSpacedCrashes
	);
}
