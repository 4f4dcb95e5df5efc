/** A run that failed once. */
export type RegressionSeed = {
	readonly seed: number;
	readonly cause: string;
};

/** Runs that failed once; their seeds are those of the runs, as \`--exact\` takes them. */
export const regressionSeeds: readonly RegressionSeed[] = [
	{
		seed: 23_760,
		cause:
			'a daemon ended at SIGHUP while it was starting, since it handled the signal too late',
	},
	{
		seed: 166_317,
		cause:
			'the check took a run that went on elsewhere for a second one, though the connection to its first engine was silent',
	},
	{
		seed: 166_331,
		cause:
			'the check took a connection that no process had accepted for one that a process had closed',
	},
	{
		seed: 7920,
		cause:
			'the check counted the lateness of the observer, which plays the engines, as work of an engine after its caller had left',
	},
];
