import type {RandomSource, TargetEntry} from '../../common/index.js';
import {
	type ClosedRefusal,
	closedRefusal,
	type TargetStanding,
	type TargetUse,
} from '../target-statements/index.js';
import type {
	AllowedRegions,
	TargetEligibility,
} from '../target-eligibility/index.js';
import type {TargetDirectory} from './target-directory.js';

export type ServiceStandingsOptions = {
	readonly directory: Pick<TargetDirectory, 'usable'>;
	readonly eligibility: Pick<
		TargetEligibility,
		'isInAllowedRegion' | 'standingOf'
	>;
	readonly random: RandomSource;
};

/**
 * How the targets of a service may be used now. Where allowed regions are given, targets elsewhere are not used
 * at all.
 */
export type ServiceStandings = {
	/** Targets with a certain use. */
	withUse(
		service: string,
		use: TargetUse,
		allowedRegions: AllowedRegions,
	): readonly TargetEntry[];
	/** Ids of the targets that get nothing now; those that leave are used if the service has no other. */
	leftOutIds(
		service: string,
		allowedRegions: AllowedRegions,
	): readonly string[];
	/** Refusal of a request if every target says that it takes none, or none may be used. */
	refusal(
		service: string,
		allowedRegions: AllowedRegions,
	): ClosedRefusal | undefined;
	/** Describes for the log the targets that are not used like others; undefined if there are none. */
	description(service: string): string | undefined;
};

type TargetAndStanding = {
	readonly target: TargetEntry;
	readonly standing: TargetStanding;
};

export function createServiceStandings({
	directory,
	eligibility,
	random,
}: ServiceStandingsOptions): ServiceStandings {
	const usableEntries = (service: string) =>
		directory.usable(service).map(({entry}) => entry);

	const standingsOf = (
		service: string,
		allowedRegions: AllowedRegions,
	): TargetAndStanding[] =>
		usableEntries(service)
			.filter((target) => eligibility.isInAllowedRegion(target, allowedRegions))
			.map((target) => ({target, standing: eligibility.standingOf(target)}));

	const idsElsewhere = (service: string, allowedRegions: AllowedRegions) =>
		allowedRegions === undefined
			? []
			: usableEntries(service)
					.filter(
						(target) => !eligibility.isInAllowedRegion(target, allowedRegions),
					)
					.map(({id}) => id);

	return {
		withUse: (service, use, allowedRegions) =>
			standingsOf(service, allowedRegions)
				.filter(({standing}) => standing.use === use)
				.map(({target}) => target),
		leftOutIds(service, allowedRegions) {
			const standings = standingsOf(service, allowedRegions);
			const hasNormal = standings.some(
				({standing}) => standing.use === 'normal',
			);
			const leftOut = standings
				.filter(
					({standing: {use}}) =>
						use === 'none' || (use === 'last-resort' && hasNormal),
				)
				.map(({target}) => target.id);
			return [...leftOut, ...idsElsewhere(service, allowedRegions)];
		},
		refusal(service, allowedRegions) {
			const standings = standingsOf(service, allowedRegions);
			return standings.length === 0 &&
				idsElsewhere(service, allowedRegions).length > 0
				? {
						reason: 'no target is in an allowed region',
						retryAfterMs: undefined,
					}
				: closedRefusal(
						standings.map(({standing}) => standing),
						random,
					);
		},
		description(service) {
			const restricted = standingsOf(service, undefined)
				.filter(({standing}) => standing.use !== 'normal')
				.map(({target, standing}) => `${target.id}: ${standing.cause}`);
			return restricted.length > 0 ? restricted.join(', ') : undefined;
		},
	};
}
