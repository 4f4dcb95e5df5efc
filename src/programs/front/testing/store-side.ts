import {createLogger, type Logger} from '../../../adapters/system/index.js';
import {type RowStore, SeededRandomSource} from '../../../common/index.js';
import type {PeerTableStates} from '../../../decisions/fleet/index.js';
import {
	createConfigurationState,
	createTargetDirectory,
	decodeRelayedTables,
	encodeRelayedTables,
	type RelayedTables,
} from '../../../decisions/serving/index.js';
import {createEvacuatedZones} from '../../../decisions/target-eligibility/index.js';
import {
	FakeRowStore,
	FakeStoreContent,
	VirtualTime,
} from '../../../experiments/fakes/index.js';
import {createStoreRelay} from '../store-relay.js';
import {createTableRecovery} from '../table-recovery.js';
import {watchStore} from '../store-watch.js';
import {fixtureConfiguration} from './front-fixture.js';

/** The store side of a VM in virtual time. */
export type StoreSideOptions = {
	readonly time: VirtualTime;
	readonly store: RowStore;
	/** Whether the VM reads the store for the others. */
	readonly isReader: boolean;
	/** Age of a table at which the VM reads it although it is no reader, in milliseconds. */
	readonly maxAgeMs?: number;
	readonly logger?: Logger;
	/** Delivers a datagram to the other VM. */
	readonly send?: (text: string) => void;
	/** Returns the tables that the other VM hands over. */
	readonly peerTables?: () => RelayedTables | undefined;
};

const testLogger = createLogger('test', 'error');

/** Starts the store side of a VM with any store. */
export function createStoreSide({
	time,
	store,
	isReader,
	maxAgeMs = 3000,
	logger = testLogger,
	send,
	peerTables,
}: StoreSideOptions) {
	const evacuatedZones = createEvacuatedZones();
	const configuration = createConfigurationState();
	const directory = createTargetDirectory({
		clock: time,
		lapseGraceMs: 2000,
		unreachableMs: 1000,
		lingerMs: 1000,
	});
	const watch = watchStore({
		store,
		clock: time,
		timers: time,
		random: new SeededRandomSource(1),
		waitMs: () => 1000,
		maxAgeMs: () => maxAgeMs,
		isStoreReader: () => isReader,
		haveReadersLostStore: () => false,
		onStoreLost() {
			// The other VM is not told.
		},
		onTargetRows(changes) {
			relay.broadcastRows(changes);
		},
		onEvacuationsChange(list) {
			relay.broadcastEvacuations(list);
		},
		onConfigurationChange(change) {
			if (change) {
				relay.broadcastConfiguration(change);
			}
		},
		onTableRead() {
			// Irrelevant here.
		},
		configuration,
		evacuatedZones,
		directory,
		logger,
	});
	const recovery = createTableRecovery({
		clock: time,
		storeWatch: watch,
		logger,
		async fetchTables() {
			const tables = peerTables?.();
			if (!tables) {
				return undefined;
			}

			const text = JSON.stringify(encodeRelayedTables(tables));
			return decodeRelayedTables(JSON.parse(text));
		},
	});
	const tableStates = (): PeerTableStates => ({
		configuration: watch.configurationSync.state,
		targets: watch.targetsSync.state,
		operatorVersion: configuration.current?.version ?? 0,
	});
	const relay = createStoreRelay({
		sendToAll(text) {
			send?.(text);
		},
		onPeerRows(changes) {
			watch.applyPeerRows(changes);
		},
		onPeerConfiguration(change) {
			watch.applyPeerConfiguration(change);
		},
		onPeerEvacuations(list) {
			watch.applyPeerEvacuations(list);
		},
	});
	return {
		watch,
		relay,
		evacuatedZones,
		configuration,
		directory,
		tableStates,
		/** Handles a beacon with the states of another VM. */
		handleBeacon(states: PeerTableStates) {
			recovery.handlePeerTableStates('10.0.0.9:7200', states);
		},
	};
}

/** A VM in virtual time, with a store in memory. */
export type FakeStoreSideOptions = Omit<StoreSideOptions, 'store'> & {
	readonly content: FakeStoreContent;
	readonly isReachable?: boolean;
};

/** Starts the store side of a VM with a store in memory. */
export function startStoreSide({
	content,
	isReachable = true,
	...options
}: FakeStoreSideOptions) {
	const store = new FakeRowStore(content, options.time);
	store.isReachable = isReachable;
	return {store, ...createStoreSide({...options, store})};
}

/** Starts a VM that reads the store, and one that gets its datagrams unless `isLost` says otherwise. */
export async function startStorePair(
	isLost: (text: string) => boolean = () => false,
) {
	const time = new VirtualTime();
	const content = new FakeStoreContent();
	content.put('op', 'config', fixtureConfiguration(3));
	const follower = startStoreSide({time, content, isReader: false});
	const reader = startStoreSide({
		time,
		content,
		isReader: true,
		send(text) {
			if (!isLost(text)) {
				follower.relay.handle(JSON.parse(text));
			}
		},
	});
	await time.runUntil(500);
	return {time, content, reader, follower};
}
