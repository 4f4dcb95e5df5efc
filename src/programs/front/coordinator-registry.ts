import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	type Disposable,
	repeat,
	type RowStore,
	type Timers,
	toProblem,
} from '../../common/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

/** What the registry works with. */
export type CoordinatorRegistryOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly store: RowStore;
	/** Key of this VM's row. */
	readonly vmName: string;
	/** `address:port` for traffic between VMs. */
	readonly address: string;
	/** True while this VM coordinates, as far as it knows. */
	readonly isCoordinator: () => boolean;
	/** True while no other VM is heard. */
	readonly isAlone: () => boolean;
	/** A VM that coordinates, or did. */
	readonly onCoordinatorFound: (address: string) => void;
	readonly logger: Logger;
};

const table = 'cowslip-vms';
const checkMs = 2000;
/** A VM that hears nobody looks for others at this interval, in milliseconds. */
const aloneIntervalMs = 5000;
/** Two groups of VMs that do not hear of each other are joined within this time, in milliseconds. */
const usualIntervalMs = 30_000;
const retryMs = 1500;

/** Address in a row, whoever wrote it. */
function addressIn(value: Uint8Array): string | undefined {
	try {
		const row = JSON.parse(new TextDecoder().decode(value)) as unknown;
		const {address} = (row ?? {}) as {address?: unknown};
		return typeof address === 'string' ? address : undefined;
	} catch {
		// The row is not one of ours, or of another version.
		return undefined;
	}
}

/**
 * Lets the few VMs that coordinate find each other through the store, so that VMs whose seeds are gone
 * do not stay apart. All others make no call.
 */
export function startCoordinatorRegistry(
	options: CoordinatorRegistryOptions,
): Disposable {
	const {clock, timers, store, logger, address} = options;
	let isWritten = false;
	let dueMs = -Infinity;
	let isExchanging = false;

	const exchange = async () => {
		if (!isWritten) {
			const row = new TextEncoder().encode(JSON.stringify({address}));
			await store.put(table, options.vmName, row);
			isWritten = true;
		}

		const {rows} = await store.snapshot(table);
		for (const row of rows) {
			const found = addressIn(row.value);
			if (found !== undefined && found !== address) {
				options.onCoordinatorFound(found);
			}
		}
	};

	const exchangeOnce = async () => {
		isExchanging = true;
		try {
			await exchange();
		} catch (error) {
			dueMs = clock.nowMs() + retryMs;
			const {type, detail} = toProblem(error);
			logger.warn('coordinators not read', {type, detail});
		} finally {
			isExchanging = false;
		}
	};

	const check = () => {
		if (!isExchanging && options.isCoordinator() && clock.nowMs() >= dueMs) {
			const intervalMs = options.isAlone() ? aloneIntervalMs : usualIntervalMs;
			dueMs = clock.nowMs() + intervalMs;
			void exchangeOnce();
		}
	};

	check();
	return repeat(timers, {
		intervalMs: () => checkMs,
		run: check,
		onError: createUnexpectedErrorLog(logger),
	});
}
