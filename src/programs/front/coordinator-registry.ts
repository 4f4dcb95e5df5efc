import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	type Disposable,
	isSocketAddress,
	repeat,
	type RowStore,
	type Timers,
	toProblem,
} from '../../common/index.js';
import {createUnexpectedErrorLog} from '../unexpected-errors.js';

export type CoordinatorRegistryOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly store: RowStore;
	/** Newest era of the store that this VM knows: an older copy, to which the store returns, may lack the row. */
	readonly storeEra: () => number;
	/** Key of this VM's row. */
	readonly vmName: string;
	/** `address:port` for traffic between VMs. */
	readonly address: string;
	/** True while this VM considers itself the coordinator. */
	readonly isCoordinator: () => boolean;
	/** True while this VM receives heartbeats or beacons of no other VM. */
	readonly isAlone: () => boolean;
	/** Called with the address of each VM in the table: a coordinator, or a former one. */
	readonly onCoordinatorFound: (address: string) => void;
	readonly logger: Logger;
};

const table = 'cowslip-vms';
const checkMs = 2000;
/** Interval at which an isolated VM looks for others, in milliseconds. */
const aloneIntervalMs = 5000;
/** Usual interval, in milliseconds; two groups that have split are joined within this time. */
const usualIntervalMs = 30_000;
const retryMs = 1500;

/** Reads the address from a row; undefined if the row is malformed or names no address. */
function decodeAddress(value: Uint8Array): string | undefined {
	try {
		const row = JSON.parse(new TextDecoder().decode(value)) as unknown;
		const {address} = (row ?? {}) as {address?: unknown};
		return typeof address === 'string' && isSocketAddress(address)
			? address
			: undefined;
	} catch {
		// The row was written by another program, or by another version of this one.
		return undefined;
	}
}

/**
 * Registers coordinators in the store and looks for others there, so that groups of VMs whose seeds are
 * all gone find each other. VMs that are not coordinators do not access this table.
 */
export function startCoordinatorRegistry(
	options: CoordinatorRegistryOptions,
): Disposable {
	const {clock, timers, store, logger, address} = options;
	/** Newest era that was known before the row was last written; -1 before that. */
	let writtenEra = -1;
	let readEra = 0;
	let nextUpdateMs = -Infinity;
	let isUpdating = false;

	const knownEra = () => Math.max(readEra, options.storeEra());

	const update = async () => {
		const era = knownEra();
		if (writtenEra < era) {
			const row = new TextEncoder().encode(JSON.stringify({address}));
			await store.put(table, options.vmName, row);
			writtenEra = era;
		}

		const {rows, revision} = await store.snapshot(table);
		readEra = Math.max(readEra, revision.era);
		for (const row of rows) {
			const found = decodeAddress(row.value);
			if (found !== undefined && found !== address) {
				options.onCoordinatorFound(found);
			}
		}
	};

	const updateLogged = async () => {
		isUpdating = true;
		try {
			await update();
		} catch (error) {
			nextUpdateMs = clock.nowMs() + retryMs;
			const {type, detail} = toProblem(error);
			logger.warn('coordinator registry not updated', {type, detail});
		} finally {
			isUpdating = false;
		}
	};

	/** True if the store has returned from an older copy since the row was written. */
	const isRowOutdated = () => writtenEra >= 0 && writtenEra < knownEra();

	const check = () => {
		if (
			!isUpdating &&
			options.isCoordinator() &&
			(clock.nowMs() >= nextUpdateMs || isRowOutdated())
		) {
			const intervalMs = options.isAlone() ? aloneIntervalMs : usualIntervalMs;
			nextUpdateMs = clock.nowMs() + intervalMs;
			void updateLogged();
		}
	};

	check();
	return repeat(timers, {
		intervalMs: () => checkMs,
		run: check,
		onError: createUnexpectedErrorLog(logger),
	});
}
