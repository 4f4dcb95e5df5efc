import type {RandomSource, TargetEntry} from '../../common/index.js';
import {
	type ClosedRefusal,
	closedRefusal,
	type TargetStanding,
	type TargetUse,
} from '../target-statements/index.js';
import type {TargetEligibility} from '../target-eligibility/index.js';
import type {TargetDirectory} from './target-directory.js';

export type ServiceStandingsOptions = {
	readonly directory: Pick<TargetDirectory, 'usable'>;
	readonly eligibility: Pick<TargetEligibility, 'standingOf'>;
	readonly random: RandomSource;
};

/** How the targets of a service may be used now. */
export type ServiceStandings = {
	/** Targets with a certain use. */
	withUse(service: string, use: TargetUse): readonly TargetEntry[];
	/** Ids of the targets that get nothing now; those that leave are used if the service has no other. */
	leftOutIds(service: string): readonly string[];
	/** Refusal of a request if every target says that it takes none. */
	refusal(service: string): ClosedRefusal | undefined;
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
	const standingsOf = (service: string): TargetAndStanding[] =>
		directory.usable(service).map(({entry}) => ({
			target: entry,
			standing: eligibility.standingOf(entry),
		}));

	return {
		withUse: (service, use) =>
			standingsOf(service)
				.filter(({standing}) => standing.use === use)
				.map(({target}) => target),
		leftOutIds(service) {
			const standings = standingsOf(service);
			const hasNormal = standings.some(
				({standing}) => standing.use === 'normal',
			);
			return standings
				.filter(
					({standing: {use}}) =>
						use === 'none' || (use === 'last-resort' && hasNormal),
				)
				.map(({target}) => target.id);
		},
		refusal: (service) =>
			closedRefusal(
				standingsOf(service).map(({standing}) => standing),
				random,
			),
		description(service) {
			const restricted = standingsOf(service)
				.filter(({standing}) => standing.use !== 'normal')
				.map(({target, standing}) => `${target.id}: ${standing.cause}`);
			return restricted.length > 0 ? restricted.join(', ') : undefined;
		},
	};
}
