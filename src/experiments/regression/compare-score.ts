import type {RegressionSite} from './regression-sites.js';
import type {SiteScore} from './score-text.js';

/** Comparison of a site with the last measured figures. */
export type SiteComparison = {
	readonly site: string;
	readonly quietWorth: number;
	readonly troubleWorth: number;
	/** Messages on a failed gate and on figures that are worse; empty if there are none. */
	readonly problems: readonly string[];
};

/** Scores of the same code differ by less than this, so smaller losses are not reported. */
const tolerance = 0.03;

const mean = (values: readonly number[]) =>
	values.reduce((sum, value) => sum + value, 0) / values.length;

const roundToThousandths = (value: number) => Math.round(value * 1000) / 1000;

/**
 * Compares a score with the figures measured for earlier code.
 * @param before - site with its last measured figures
 */
export function compareScore(
	before: RegressionSite,
	{hasPassed, worthByDay}: SiteScore,
): SiteComparison {
	const meanWorth = (isIncluded: (day: string) => boolean) =>
		roundToThousandths(
			mean(
				[...worthByDay].flatMap(([day, worth]) =>
					isIncluded(day) ? [worth] : [],
				),
			),
		);
	const isQuiet = (day: string) => day.startsWith('quiet');
	const quietWorth = meanWorth(isQuiet);
	const troubleWorth = meanWorth((day) => !isQuiet(day));
	const problems = hasPassed ? [] : ['the gate failed'];
	const check = (days: string, worth: number, baseline: number) => {
		// The mean over no days is NaN, which has to be reported too.
		if (!(worth >= baseline - tolerance)) {
			problems.push(
				`mean worth of the ${days} days is ${worth}, was ${baseline}`,
			);
		}
	};

	check('quiet', quietWorth, before.quietWorth);
	check('scale and trouble', troubleWorth, before.troubleWorth);
	return {site: before.name, quietWorth, troubleWorth, problems};
}
