import type {Observations} from '../observations.js';
import {checkAtMostOnce} from './at-most-once.js';
import {
	checkConfigurationApplied,
	checkConfigurationForward,
} from './configuration.js';
import {checkCrashingParts} from './crashing-part.js';
import {checkLeavingTargets} from './leaving-target.js';
import type {InvariantCheck, Violation} from './invariant-check.js';
import {checkPromptAnswers} from './prompt-answer.js';
import {checkRateLimits} from './rate-limit.js';
import {checkRetryBudget} from './retry-budget.js';
import {checkCalmService, checkRecovery} from './service.js';
import {checkBackOffs, checkStatedLeaving} from './statements.js';
import {checkStaysUp} from './stays-up.js';
import {checkTrueRefusals} from './true-refusal.js';
import {checkEventOrder, checkWholeAnswers} from './whole-answer.js';
import {checkWorkEnds} from './work-ends.js';

export type * from './invariant-check.js';

const checks: readonly InvariantCheck[] = [
	checkAtMostOnce,
	checkTrueRefusals,
	checkWholeAnswers,
	checkEventOrder,
	checkRateLimits,
	checkRetryBudget,
	checkLeavingTargets,
	checkStatedLeaving,
	checkBackOffs,
	checkCrashingParts,
	checkConfigurationForward,
	checkConfigurationApplied,
	checkPromptAnswers,
	checkWorkEnds,
	checkStaysUp,
	checkCalmService,
	checkRecovery,
];

/** Checks all invariants on the observations so far. */
export function checkInvariants(observations: Observations): Violation[] {
	return checks.flatMap((check) => check(observations));
}
