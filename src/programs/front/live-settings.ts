import {unwatchFile, watchFile} from 'node:fs';
import type {Logger} from '../../adapters/system/index.js';
import {
	type Disposable,
	toProblem,
	type VmSettings,
} from '../../common/index.js';
import {readBootFile} from './front-settings.js';

/** Settings of the boot file that may change while the daemon runs. */
export type LiveSettings = Disposable & {
	/** Newest content that could be read. */
	readonly current: VmSettings;
	/** Reads the file again; a bad one is logged and the settings before stay in force. */
	reload(): void;
};

/** The platform has no file notifications, so that the file's time is compared at this interval. */
const checkIntervalMs = 2000;

/** Follows a boot file. Addresses are taken over at the next start only, bounds at once. */
export function watchBootFile(
	path: string,
	atStart: VmSettings,
	logger: Logger,
): LiveSettings {
	let current = atStart;

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
