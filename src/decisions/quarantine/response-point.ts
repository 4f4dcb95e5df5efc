/** Points of a response that count as the same differ by up to so many events, or this fraction of them. */
const samePointEvents = 6;
const samePointFraction = 0.05;
const firstMilestoneEvents = 16;

/** Last point of a response, in events, that counts as the same as a point. */
export const samePointLimit = (eventCount: number): number =>
	eventCount + Math.max(samePointEvents, eventCount * samePointFraction);

/**
 * Numbers of events at which the progress of a run is recorded: 16, 32, 64 and so on.
 * @returns the last such number up to a number of events; undefined if there is none
 */
export function lastMilestone(eventCount: number): number | undefined {
	return eventCount < firstMilestoneEvents
		? undefined
		: firstMilestoneEvents *
				2 ** Math.floor(Math.log2(eventCount / firstMilestoneEvents));
}
