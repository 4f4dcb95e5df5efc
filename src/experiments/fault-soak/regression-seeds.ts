/** A soak run that has failed, with the cause found. */
export type RegressionSeed = {
	readonly seed: number;
	readonly cause: string;
};

/** Soak runs repeated in CI against regressions. The seed is that of the run, as for `--exact`. */
export const regressionSeeds: readonly RegressionSeed[] = [
	{
		seed: 23_760,
		cause:
			'a daemon that was starting was ended by SIGHUP, since it installed the signal handler too late',
	},
	{
		seed: 166_317,
		cause:
			'the check counted a generation continued at another engine as a second execution, although the daemon could not reach the first engine over its silenced connection to stop it',
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
	{
		seed: 3_967_422,
		cause:
			'the injector lifted the rate limit of a target that a second step had set, while it recorded the first one as still named',
	},
];
