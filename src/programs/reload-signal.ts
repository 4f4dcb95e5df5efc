import process from 'node:process';

/** SIGHUP, which would end a process that does not handle it. */
export type ReloadSignal = {
	/** Runs the function at each signal, and now if one has arrived already. */
	setHandler(reload: () => void): void;
};

function createReloadSignal(): ReloadSignal {
	let isDue = false;
	let current = () => {
		isDue = true;
	};

	process.on('SIGHUP', () => {
		current();
	});
	return {
		setHandler(reload) {
			current = reload;
			if (isDue) {
				reload();
			}
		},
	};
}

/** The signal of this process, handled from the moment at which this module is read. */
export const reloadSignal = createReloadSignal();
