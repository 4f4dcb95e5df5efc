import type {FleetExchange} from './fleet-exchange-types.js';
import {watchStore} from './store-watch.js';
import type {StoreWatch, StoreWatchOptions} from './store-watch-types.js';

export type RelayingStoreWatchOptions = Omit<
	StoreWatchOptions,
	| 'haveReadersLostStore'
	| 'isStoreReader'
	| 'onConfigurationChange'
	| 'onEvacuationsChange'
	| 'onStoreLost'
	| 'onTargetRows'
> & {
	/** Decides which VMs read the store, and relays what this VM reads. */
	readonly fleetExchange: FleetExchange;
};

/** Starts to follow the store, and relays what this VM reads while it is a store reader. */
export function startStoreWatch(
	options: RelayingStoreWatchOptions,
): StoreWatch {
	const {fleetExchange} = options;
	const {members, relay} = fleetExchange;
	const storeWatch = watchStore({
		...options,
		isStoreReader: (readState) => members.isStoreReader(readState),
		haveReadersLostStore: (readState) =>
			members.haveReadersLostStore(readState),
		onStoreLost() {
			fleetExchange.announceStoreLost();
		},
		onTargetRows(changes) {
			if (storeWatch.readState === 'reading') {
				relay.broadcastRows(changes);
			}
		},
		onEvacuationsChange(list) {
			if (storeWatch.readState === 'reading') {
				relay.broadcastEvacuations(list);
			}
		},
		onConfigurationChange(change) {
			if (change && storeWatch.readState === 'reading') {
				relay.broadcastConfiguration(change);
			}

			fleetExchange.broadcastSyncState();
		},
	});
	return storeWatch;
}
