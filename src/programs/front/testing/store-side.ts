import {createLogger} from '../../../adapters/system/index.js';
import {SeededRandomSource} from '../../../common/index.js';
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

/** A VM in virtual time, with a store in memory. */
export type StoreSideOptions = {
	readonly time: VirtualTime;
	readonly content: FakeStoreContent;
	/** Whether the VM reads the store for the others. */
	readonly isReader: boolean;
	readonly isReachable?: boolean;
	/** Delivers a datagram to the other VM. */
	readonly send?: (text: string) => void;
	/** Returns the tables that the other VM hands over. */
	readonly peerTables?: () => RelayedTables | undefined;
};

/** Starts the store side of a VM. */
export function startStoreSide({
	time,
	content,
	isReader,
	isReachable = true,
	send,
	peerTables,
}: StoreSideOptions) {
	const store = new FakeRowStore(content, time);
	store.isReachable = isReachable;
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
		maxAgeMs: () => 3000,
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
		logger: createLogger('test', 'error'),
	});
	const recovery = createTableRecovery({
		clock: time,
		storeWatch: watch,
		logger: createLogger('test', 'error'),
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
		store,
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
