import {extrapolateTokens, type UsageReport} from '../contracts/index.js';
import {isNewer} from './entry-order.js';
import {mayPropagateTo} from './entry-scope.js';
import type {Distance, SharedEntry} from './types.js';

/** Decisions on which the promises rest, replaceable so that tests can plant faults. */
export type MembershipRules = {
	/** True if `one` replaces `other`. */
	isNewer(one: SharedEntry, other: SharedEntry): boolean;
	/** Whether an entry may be sent to a peer that is this close. */
	mayPropagateTo(entry: SharedEntry, closeness: Distance): boolean;
	/** Above 0 if the first incarnation is of a later run of the same VM's process, 0 if of the same. */
	compareIncarnations(incarnation: number, knownIncarnation: number): number;
	/** Tokens that a silent source is taken to have used since its report. */
	extrapolateTokens(report: UsageReport, silentMs: number): number;
};

/** The rules that the daemon uses. */
export const membershipRules: MembershipRules = {
	isNewer,
	mayPropagateTo,
	compareIncarnations: (incarnation, knownIncarnation) =>
		incarnation - knownIncarnation,
	extrapolateTokens,
};
