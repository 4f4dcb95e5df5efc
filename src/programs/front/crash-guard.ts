import type {Logger, Metrics} from '../../adapters/system/index.js';
import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type RandomSource,
	repeat,
	type TargetClient,
	type Timers,
} from '../../common/index.js';
import {
	type CrashEvidence,
	type CrashObserver,
	createCrashObserver,
	createPromptQuarantine,
	type PromptQuarantine,
} from '../../decisions/quarantine/index.js';
import type {TargetDirectory} from '../../decisions/serving/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

export type CrashGuardOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly evidence: CrashEvidence;
	readonly vmCount: () => number;
	readonly targetClient: TargetClient;
	readonly directory: TargetDirectory;
	readonly logger: Logger;
	readonly metrics: Metrics;
};

/** Learns which prompt parts engines end under, and decides on requests with such parts. */
export type CrashGuard = Disposable & {
	readonly observer: CrashObserver;
	readonly quarantine: PromptQuarantine;
};

const livenessTimeoutMs = 500;
const sweepIntervalMs = 1000;

/** Starts the guard; its decisions, and what they rest on, are logged and counted. */
export function startCrashGuard(options: CrashGuardOptions): CrashGuard {
	const {clock, evidence, directory, logger, metrics} = options;
	const owned = createDisposableStore();
	const quarantine = owned.add(
		createPromptQuarantine({
			clock,
			evidence,
			vmCount: options.vmCount,
			trialOrder: options.random.nextUnit(),
		}),
	);
	const observer = createCrashObserver({
		clock,
		evidence,
		checkLiveness: async (target) =>
			options.targetClient.checkLiveness(target, livenessTimeoutMs),
		onEnded(target, requestIds) {
			metrics.count('engine_crashes', {service: target.service});
			logger.warn('engine ended', {
				target: target.id,
				service: target.service,
				requests: requestIds.join(' '),
			});
			directory.markUnreachable(target.id);
		},
	});
	owned.add(
		evidence.onChanged(({partId, cause, source, crashCount}) => {
			logger.info('prompt part changed', {
				part: partId,
				cause,
				source,
				crashes: crashCount,
			});
		}),
	);
	owned.add(
		quarantine.onChanged(({partId, isSuspected, crashCount}) => {
			const change = isSuspected ? 'begins' : 'ends';
			metrics.count('prompt_part_suspicions', {change});
			logger.warn(`suspicion of a prompt part ${change}`, {
				part: partId,
				crashes: crashCount,
			});
		}),
	);
	owned.add(
		repeat(options.timers, {
			intervalMs: () => sweepIntervalMs,
			run() {
				quarantine.sweep();
			},
			onError: createUnexpectedErrorLog(logger),
		}),
	);
	return {
		observer,
		quarantine,
		dispose() {
			owned.dispose();
		},
	};
}
