import {unwatchFile, watchFile} from 'node:fs';
import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	toProblem,
	type VmSettings,
} from '../../common/index.js';
import {readBootFile} from './front-settings.js';

/** Settings of the boot file, reloaded while the daemon runs. */
export type LiveSettings = Disposable & {
	/** Newest valid settings. */
	readonly current: VmSettings;
	/** Reads the file again; if it is invalid, that is logged and the previous settings stay in force. */
	reload(): void;
};

/** Interval of polling the file's modification time; the platform has no file notifications. */
const checkIntervalMs = 2000;

/**
 * Watches a boot file for changes. Changed bounds take effect at once, changed addresses only at the
 * next start.
 * @param initial - settings read at the start
 */
export function watchBootFile(
	path: string,
	initial: VmSettings,
	logger: Logger,
): LiveSettings {
	let current = initial;

	const reload = () => {
		try {
			current = readBootFile(path);
			logger.info('settings read again', {vm: current.name, ...current.bounds});
		} catch (error) {
			const problem = toProblem(error);
			logger.error('settings refused', {
				type: problem.type,
				detail: problem.message,
				field: problem.field,
			});
		}
	};

	watchFile(path, {interval: checkIntervalMs}, reload);
	return {
		get current() {
			return current;
		},
		reload,
		dispose() {
			unwatchFile(path, reload);
		},
	};
}
