/** A site of the users' bench, with its worth when last measured (docs/MEASUREMENTS.md). */
export type RegressionSite = {
	readonly name: string;
	/** Path of the site file, relative to the directory of the users' site files. */
	readonly file: string;
	/** Mean worth of the quiet days. */
	readonly quietWorth: number;
	/** Mean worth of the `scale` and `trouble` days. */
	readonly troubleWorth: number;
};

/** Sites on which a change must not score worse, newest first. */
export const regressionSites: readonly RegressionSite[] = [
	{
		name: 'kiilto-jaettu-large',
		file: 'large/kiilto-jaettu-large.toml',
		quietWorth: 0.896,
		troubleWorth: 0.645,
	},
	{
		name: 'andamio-aviso-grown',
		file: 'further-grown/andamio-aviso-grown.toml',
		quietWorth: 0.456,
		troubleWorth: 0.356,
	},
	{
		name: 'andamio-aviso',
		file: 'further/andamio-aviso.toml',
		quietWorth: 0.774,
		troubleWorth: 0.398,
	},
];
