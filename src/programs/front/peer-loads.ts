import * as z from 'zod';
import {openDatagramSocket} from '../../adapters/front/index.js';
import type {Logger} from '../../adapters/system/index.js';
import {
	type Clock,
	type Disposable,
	type RowStore,
	type Timers,
	toProblem,
	type VmSettings,
} from '../../common/index.js';
import {
	type ConfigurationState,
	createPeerList,
	digestIntervals,
	manyVms,
	decodeDigest,
	decodeRelayedRows,
	encodeDigest,
	encodeRelayedRows,
	type LoadDigest,
	type RelayedRow,
	type TargetLoad,
} from '../../decisions/serving/index.js';

/** What the exchange of loads works with. */
export type PeerLoadsOptions = {
	readonly vm: VmSettings;
	readonly instanceId: string;
	readonly clock: Clock;
	readonly timers: Timers;
	readonly store: RowStore;
	readonly load: TargetLoad;
	readonly configuration: ConfigurationState;
	/** Shortest interval between two digests, in milliseconds. */
	readonly intervalMs: number;
	/** True while this VM reads the table of the targets. */
	readonly readsTargets: () => boolean;
	/** A peer relays rows of the table of the targets. */
	readonly onRows: (rows: readonly RelayedRow[]) => void;
	/** A digest of a peer arrived. */
	readonly onDigest: (from: string, digest: LoadDigest) => void;
	/** A peer has a newer configuration than this VM. */
	readonly onNewerConfiguration: () => void;
	readonly logger: Logger;
};

/** Tells peers of this VM's load and takes theirs in. */
export type PeerLoads = Disposable & {
	/** Largest number of VMs that may be serving. */
	readonly vmCount: number;
	/** True if this VM relays the changes of the store's tables. */
	readonly isRelay: boolean;
	/** The load has changed much; peers are told soon. */
	changed(): void;
	/** Passes rows of the table of the targets on. */
	relay(rows: readonly RelayedRow[]): void;
};

const vmTable = 'cowslip-vms';
const soonMs = 20;
/** Bytes between zones are dear, and few VMs have to be told apart. */
const instanceIdLength = 8;
/** Digests that say nothing new still tell that the VM lives. */
const idleIntervalMs = 1000;
const forgetPeerMs = 60_000;
const registerRetryMs = 1500;

function parseOrUndefined(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

const peerSchema = z.object({
	address: z.string(),
	availabilityZone: z.string(),
});

function decodePeer(value: Uint8Array) {
	const {success, data} = peerSchema.safeParse(
		parseOrUndefined(new TextDecoder().decode(value)),
	);
	return success ? data : undefined;
}

/** Starts the exchange: registers this VM in the store, reads the others and opens a socket. */
export function startPeerLoads(options: PeerLoadsOptions): PeerLoads {
	const {vm, clock, timers, store, load, logger, configuration} = options;
	const port = vm.peerPorts[0];
	const address = `${vm.ip}:${port}`;
	const socket = openDatagramSocket(vm.ip, port);
	const {availabilityZone} = vm;
	const peers = createPeerList(
		clock,
		{address, availabilityZone},
		forgetPeerMs,
	);
	let sequence = 0;
	let isDisposed = false;
	let soon: Disposable | undefined;
	let isRegistered = false;
	let areNamed = false;

	const takeDigest = (from: string, digest: LoadDigest) => {
		if (!peers.heard(from, digest)) {
			return;
		}

		load.heard(from, digest.shares);
		options.onDigest(from, digest);
		if (digest.configurationVersion > (configuration.current?.version ?? 0)) {
			options.onNewerConfiguration();
		}
	};

	socket.onDatagram(({from, text}) => {
		const value = parseOrUndefined(text);
		const digest = decodeDigest(value);
		const rows = digest ? undefined : decodeRelayedRows(value);
		if (digest) {
			takeDigest(from, digest);
		} else if (rows) {
			options.onRows(rows);
		} else {
			logger.warn('datagram refused', {from});
		}
	});
	socket.onError((error) => {
		logger.warn('peer socket failed', {detail: error.message});
	});

	const digestNow = (): LoadDigest => ({
		instanceId: options.instanceId.slice(0, instanceIdLength),
		sequence: 0,
		availabilityZone,
		configurationVersion: configuration.current?.version ?? 0,
		readsStore: options.readsTargets(),
		shares: load.ownShares(),
	});

	/** Tells the peers inside or outside this VM's zone. */
	const createTeller = (isOwnZone: boolean) => {
		let lastText = '';
		let lastSentMs = -Infinity;
		return () => {
			const nowMs = clock.nowMs();
			const digest = digestNow();
			const text = encodeDigest(digest);
			if (text === lastText && nowMs - lastSentMs < idleIntervalMs) {
				return;
			}

			lastText = text;
			lastSentMs = nowMs;
			sequence++;
			const numbered = encodeDigest({...digest, sequence});
			for (const peer of peers.inZone(isOwnZone)) {
				socket.send(peer, numbered);
			}
		};
	};

	const tellOwnZone = createTeller(true);
	const tellOtherZones = createTeller(false);
	const intervals = () =>
		digestIntervals(
			{
				ownZone: peers.inZone(true).length,
				otherZones: peers.inZone(false).length,
			},
			options.intervalMs,
		);

	const repeat = (tell: () => void, intervalMs: () => number) => {
		timers.after(intervalMs(), () => {
			if (!isDisposed) {
				tell();
				repeat(tell, intervalMs);
			}
		});
	};

	const register = async () => {
		try {
			if (!isRegistered) {
				await store.put(
					vmTable,
					vm.name,
					new TextEncoder().encode(JSON.stringify({address, availabilityZone})),
				);
				isRegistered = true;
			}

			const {rows} = await store.snapshot(vmTable);
			for (const row of rows) {
				const peer = decodePeer(row.value);
				if (peer) {
					peers.named(peer.address, peer.availabilityZone);
				}
			}

			areNamed = true;
		} catch (error) {
			const problem = toProblem(error);
			logger.warn('peers not read', {
				type: problem.type,
				detail: problem.message,
			});
		}

		if (!areNamed && !isDisposed) {
			timers.after(registerRetryMs, () => {
				void register();
			});
		}
	};

	void register();
	repeat(tellOwnZone, () => intervals().ownZoneMs);
	repeat(tellOtherZones, () => intervals().otherZonesMs);
	return {
		get vmCount() {
			return peers.vmCount;
		},
		get isRelay() {
			return peers.isRelay(options.readsTargets());
		},
		relay(rows) {
			if (!peers.isRelay(options.readsTargets())) {
				return;
			}

			for (const message of encodeRelayedRows(rows)) {
				for (const peer of peers.addresses) {
					socket.send(peer, message);
				}
			}
		},
		changed() {
			soon ??= timers.after(soonMs, () => {
				soon = undefined;
				tellOwnZone();
				if (peers.vmCount < manyVms) {
					tellOtherZones();
				}
			});
		},
		dispose() {
			isDisposed = true;
			soon?.dispose();
			socket.dispose();
		},
	};
}
