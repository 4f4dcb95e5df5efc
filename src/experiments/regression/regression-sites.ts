/** A site of the users, and what it was worth when it was last measured (docs/MEASUREMENTS.md). */
export type RegressionSite = {
	readonly name: string;
	/** Site file, from the folder that the users' pages lie in. */
	readonly file: string;
	/** Mean worth of the days without trouble. */
	readonly quietWorth: number;
	/** Mean worth of the days with trouble. */
	readonly troubleWorth: number;
};

/** Sites on which a change must not lose, newest first. */
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
