import type {SoakBounds} from './observations.js';

/** Bounds of the deployment under test; shorter than in production, for short runs. */
export const soakBounds: SoakBounds = {
	drainMs: 2000,
	stopGraceMs: 4000,
	configurationApplyMs: 2000,
	settleMs: 2000,
	retryRatio: 0.2,
	retryExtra: 30,
	retryWindowMs: 4000,
	rateLimitSettleMs: 3000,
	contactMs: 3000,
	recoveryMs: 5000,
};

const millisecondsPerSecond = 1000;

/** The bounds that the daemons apply, under the names and units of the boot file. */
export const bootBounds: Readonly<Record<string, number>> = {
	drain_ms: soakBounds.drainMs,
	grace_s: soakBounds.stopGraceMs / millisecondsPerSecond,
	config_apply_ms: soakBounds.configurationApplyMs,
	retry_budget_ratio: soakBounds.retryRatio,
	retry_budget_extra: soakBounds.retryExtra,
	budget_window_s: soakBounds.retryWindowMs / millisecondsPerSecond,
	reuse_after_s: 2,
};
