import type {ServiceRule, ServingBounds} from '../../common/index.js';
import type {ColdRule} from './cold-targets.js';

/**
 * Permits that a coordinator and the own shares of VMs that do not reach it may give for a target together, as
 * a multiple of its rate.
 */
const permitOverage = 1.5;

/**
 * How the targets of a service are limited while they are cold.
 * @param bounds - limits of the deployment; nothing is limited if one of them is absent
 * @returns undefined if the targets are never cold, or not limited
 */
export function coldRuleOf(
	service: ServiceRule | undefined,
	{coldOverage, coldSlack}: Pick<ServingBounds, 'coldOverage' | 'coldSlack'>,
): ColdRule | undefined {
	const {coldMs = 0, coldRequestsPerSecond = 0} = service ?? {};
	const isLimited =
		coldOverage !== undefined &&
		coldSlack !== undefined &&
		coldMs > 0 &&
		coldRequestsPerSecond > 0;
	return isLimited
		? {
				requestsPerSecond:
					coldRequestsPerSecond * Math.min(1, coldOverage / permitOverage),
				coldMs,
			}
		: undefined;
}
