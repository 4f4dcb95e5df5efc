/** Result of scoring one site. */
export type SiteScore = {
	readonly site: string;
	/** True if the gate of the score passed. */
	readonly hasPassed: boolean;
	/** Worth of each standard day by its name. */
	readonly worthByDay: ReadonlyMap<string, number>;
};

const sitePattern = /^score on the standard days of (\S+)/m;
const gatePattern = /^GATE (passed|failed)/m;
/** Row of a standard day: its name, number of VMs and targets, score and worth. */
const dayPattern =
	/^((?:quiet|scale|trouble)-\d+) +\d+\/\d+ +-?[\d.]+ +(-?[\d.]+) /gm;

/**
 * Reads the text that the bench prints for a score of one site.
 * @returns undefined if the site or gate line is missing, since the score was broken off
 */
export function readScoreText(text: string): SiteScore | undefined {
	const site = sitePattern.exec(text)?.[1];
	const gate = gatePattern.exec(text)?.[1];
	if (site === undefined || gate === undefined) {
		return undefined;
	}

	const days = [...text.matchAll(dayPattern)];
	return {
		site,
		hasPassed: gate === 'passed',
		worthByDay: new Map(days.map(([, day, worth]) => [day, Number(worth)])),
	};
}
