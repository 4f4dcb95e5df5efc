import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	repeat,
	type TargetEntry,
	type TargetClient,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {TargetDirectory} from '../../decisions/serving/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

/** What the watch works with. */
export type EnginePollingOptions = {
	readonly timers: Timers;
	readonly link: TargetClient;
	readonly directory: TargetDirectory;
	/** True while the store tells of engines that leave. */
	readonly areTargetsCurrent: () => boolean;
	/** Engines on which runs of this VM, or their copies, depend. */
	readonly engines: () => readonly TargetEntry[];
	readonly logger: Logger;
};

/** An engine gives about two seconds of notice, and a copy takes most of one. */
const intervalMs = 500;
const timeoutMs = 400;
/** Interval at which this VM looks whether the store is away, in milliseconds; a part of the notice. */
const restMs = 250;

/**
 * Asks engines themselves whether they leave, but only while the store cannot be read, since each
 * question delays the engine's work.
 */
export function startEnginePolling(options: EnginePollingOptions): Disposable {
	const {timers, link, directory, logger} = options;

	const ask = async ({id, address}: TargetEntry) => {
		try {
			const report = await link.report(address, timeoutMs);
			if (report.leaving) {
				logger.info('engine says that it leaves', {target: id});
				directory.markLeaving(id);
			}
		} catch (error) {
			logger.debug('engine not asked', {
				target: id,
				detail: toProblem(error).message,
			});
		}
	};

	return repeat(timers, {
		intervalMs: () => (options.areTargetsCurrent() ? restMs : intervalMs),
		run() {
			if (!options.areTargetsCurrent()) {
				for (const engine of options.engines()) {
					void ask(engine);
				}
			}
		},
		onError: createUnexpectedErrorLog(logger),
	});
}
