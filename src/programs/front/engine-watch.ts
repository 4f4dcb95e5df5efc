import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	repeat,
	type TargetEntry,
	type TargetLink,
	type Timers,
	toProblem,
} from '../../common/index.js';
import type {TargetDirectory} from '../../decisions/serving/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

/** What the watch works with. */
export type EngineWatchOptions = {
	readonly timers: Timers;
	readonly link: TargetLink;
	readonly directory: TargetDirectory;
	/** True while the store tells of engines that leave. */
	readonly readsTargets: () => boolean;
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
export function startEngineWatch(options: EngineWatchOptions): Disposable {
	const {timers, link, directory, logger} = options;

	const ask = async ({id, address}: TargetEntry) => {
		try {
			const report = await link.report(address, timeoutMs);
			if (report.leaving) {
				logger.info('engine says that it leaves', {target: id});
				directory.leaving(id);
			}
		} catch (error) {
			logger.debug('engine not asked', {
				target: id,
				detail: toProblem(error).message,
			});
		}
	};

	return repeat(timers, {
		intervalMs: () => (options.readsTargets() ? restMs : intervalMs),
		run() {
			if (!options.readsTargets()) {
				for (const engine of options.engines()) {
					void ask(engine);
				}
			}
		},
		onError: createUnexpectedErrorLog(logger),
	});
}
