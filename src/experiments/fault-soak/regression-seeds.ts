/** A run of the fault soak that has failed, with the cause found. */
export type RegressionSeed = {
	readonly seed: number;
	readonly cause: string;
};

/** Runs repeated in CI against regressions. The seed is that of the run, as for `--exact`. */
export const regressionSeeds: readonly RegressionSeed[] = [
	{
		seed: 23_760,
		cause:
			'a daemon that was starting was ended by SIGHUP, since it installed the signal handler too late',
	},
	{
		seed: 166_317,
		cause:
			'the check counted a run continued at another engine as a second run, though the connection to its first engine was silenced',
	},
	{
		seed: 166_331,
		cause:
			'the check counted a connection that no process had accepted as one closed by a process',
	},
	{
		seed: 7920,
		cause:
			'the check counted timer delays of the observer, which runs the engines, as work of an engine after its caller had disconnected',
	},
];
