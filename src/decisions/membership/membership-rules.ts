import {extrapolateTokens, type UsageReport} from '../contracts/index.js';
import {isNewer} from './entry-order.js';
import {mayPropagateTo} from './entry-scope.js';
import type {Distance, SharedEntry} from './types.js';

/** Rules that the guarantees on shared state depend on; tests replace them to inject faults. */
export type MembershipRules = {
	/** True if entry `one` replaces entry `other`. */
	isNewer(one: SharedEntry, other: SharedEntry): boolean;
	/** Whether an entry may be sent to a peer at this distance. */
	mayPropagateTo(entry: SharedEntry, distance: Distance): boolean;
	/**
	 * Compares two incarnations of one VM's process.
	 * @returns above 0 if the first is later, 0 if they are the same
	 */
	compareIncarnations(incarnation: number, knownIncarnation: number): number;
	/** Tokens that a source is assumed to have used since its latest report. */
	extrapolateTokens(report: UsageReport, silentMs: number): number;
};

/** Rules used in production. */
export const membershipRules: MembershipRules = {
	isNewer,
	mayPropagateTo,
	compareIncarnations: (incarnation, knownIncarnation) =>
		incarnation - knownIncarnation,
	extrapolateTokens,
};
