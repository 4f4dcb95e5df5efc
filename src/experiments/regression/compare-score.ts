import type {RegressionSite} from './regression-sites.js';
import type {SiteScore} from './score-text.js';

/** How a site stands against its last measured figures. */
export type SiteComparison = {
	readonly site: string;
	readonly quietWorth: number;
	readonly troubleWorth: number;
	/** What is worse than before; empty if nothing is. */
	readonly problems: readonly string[];
};

/** Two scores of the same code differ by less than this. */
const spread = 0.03;

const mean = (values: readonly number[]) =>
	values.reduce((sum, value) => sum + value, 0) / values.length;

const rounded = (value: number) => Math.round(value * 1000) / 1000;

/** Compares a score with the figures of the code before. */
export function compareScore(
	before: RegressionSite,
	{hasPassed, worthByDay}: SiteScore,
): SiteComparison {
	const worthOf = (isWanted: (day: string) => boolean) =>
		rounded(
			mean(
				[...worthByDay].flatMap(([day, worth]) =>
					isWanted(day) ? [worth] : [],
				),
			),
		);
	const isQuiet = (day: string) => day.startsWith('quiet');
	const quietWorth = worthOf(isQuiet);
	const troubleWorth = worthOf((day) => !isQuiet(day));
	const problems = hasPassed ? [] : ['the gate failed'];
	const check = (days: string, worth: number, least: number) => {
		// What is no number, for want of days, is a problem as well.
		if (!(worth >= least - spread)) {
			problems.push(`${days} days are worth ${worth}, ${least} before`);
		}
	};

	check('quiet', quietWorth, before.quietWorth);
	check('troubled', troubleWorth, before.troubleWorth);
	return {site: before.name, quietWorth, troubleWorth, problems};
}
