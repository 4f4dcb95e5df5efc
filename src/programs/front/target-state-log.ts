import type {Logger, Metrics} from '../../adapters/system/index.js';
import {createDisposableStore, type Disposable} from '../../common/index.js';
import {logColdTargets} from './cold-target-log.js';
import type {DeploymentState} from './deployment-state.js';
import {logRateLimitChanges} from './rate-limit-log.js';
import {logTargetStatements} from './target-statement-log.js';
import {logZoneEvacuations} from './zone-evacuation-log.js';

/** Logs and counts what restricts the use of targets. */
export function logTargetState(
	{
		statements,
		evacuatedZones,
		coldTargets,
	}: Pick<DeploymentState, 'coldTargets' | 'evacuatedZones' | 'statements'>,
	logger: Logger,
	metrics: Metrics,
): Disposable {
	const owned = createDisposableStore();
	owned.add(logRateLimitChanges(statements.rateLimits, logger, metrics));
	owned.add(logTargetStatements(statements, logger, metrics));
	owned.add(logZoneEvacuations(evacuatedZones, logger, metrics));
	owned.add(logColdTargets(coldTargets, logger, metrics));
	return owned;
}
