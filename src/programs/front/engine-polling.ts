import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	repeat,
	type TargetEntry,
	type TargetClient,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {
	ColdTargets,
	TargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import type {TargetStatements} from '../../decisions/target-statements/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

export type EnginePollingOptions = {
	readonly timers: Timers;
	readonly targetClient: TargetClient;
	readonly statements: Pick<TargetStatements, 'recordLeavingReport'>;
	readonly eligibility: Pick<TargetEligibility, 'standingOf'>;
	readonly coldTargets: Pick<ColdTargets, 'recordResponse'>;
	/** True while this VM learns of leaving engines from the store in time. */
	readonly areTargetsCurrent: () => boolean;
	/** Engines that run generations of this VM or hold their KV cache copies. */
	readonly enginesInUse: () => readonly TargetEntry[];
	readonly logger: Logger;
};

/**
 * Interval of the polls, in milliseconds. An engine gives about two seconds of notice before it leaves,
 * and a KV cache copy takes most of one second.
 */
const pollIntervalMs = 500;
const pollTimeoutMs = 400;
/** Interval of the checks whether polling is needed, in milliseconds; a fraction of the notice. */
const idleIntervalMs = 250;

/**
 * Polls the engines in use for whether they are leaving, but only while the store does not report it,
 * since each poll delays the engine's work.
 */
export function startEnginePolling(options: EnginePollingOptions): Disposable {
	const {timers, targetClient, statements, eligibility, logger} = options;

	const poll = async (engine: TargetEntry) => {
		const {id, address} = engine;
		try {
			const report = await targetClient.report(address, pollTimeoutMs);
			options.coldTargets.recordResponse(engine, report.coldMs);
			if (report.leaving) {
				statements.recordLeavingReport(engine);
			}
		} catch (error) {
			logger.debug('engine poll failed', {
				target: id,
				detail: toProblem(error).message,
			});
		}
	};

	return repeat(timers, {
		intervalMs: () =>
			options.areTargetsCurrent() ? idleIntervalMs : pollIntervalMs,
		run() {
			if (!options.areTargetsCurrent()) {
				for (const engine of options.enginesInUse()) {
					if (eligibility.standingOf(engine).use === 'normal') {
						void poll(engine);
					}
				}
			}
		},
		onError: createUnexpectedErrorLog(logger),
	});
}
