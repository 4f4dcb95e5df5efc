import process from 'node:process';

/** SIGHUP, which asks the process to read its settings again and would terminate it if not handled. */
export type ReloadSignal = {
	/**
	 * Sets the function that is called on each signal, in place of the earlier one. Calls it at once if a
	 * signal arrived before the first function was set.
	 */
	setHandler(onReload: () => void): void;
};

function createReloadSignal(): ReloadSignal {
	let isPending = false;
	let handler = () => {
		isPending = true;
	};

	process.on('SIGHUP', () => {
		handler();
	});
	return {
		setHandler(onReload) {
			handler = onReload;
			if (isPending) {
				onReload();
			}
		},
	};
}

/** SIGHUP of this process; its listener is installed when this module is loaded. */
export const reloadSignal = createReloadSignal();
