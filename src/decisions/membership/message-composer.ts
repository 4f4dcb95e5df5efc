import type {RandomSource} from '../../common/index.js';
import type {EntryStore} from './entry-store.js';
import type {MemberDirectory} from './member-directory.js';
import {entryBytes} from './message-codec.js';
import type {PeerSelector} from './peer-selector.js';
import type {
	Distance,
	Heartbeat,
	MemberAddress,
	MembershipMessage,
} from './types.js';

/** Sources of a message's contents. */
export type MessageComposerOptions = {
	readonly self: MemberAddress;
	readonly random: RandomSource;
	readonly entries: EntryStore;
	readonly directory: MemberDirectory;
	readonly selector: PeerSelector;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	readonly ownHeartbeat: () => Heartbeat;
};

/** Builds membership messages within limits on their size. */
export type MessageComposer = {
	/** @param maxBytes - limit on the entries' total size */
	compose(
		distance: Distance,
		maxBytes: number,
		nowMs: number,
	): MembershipMessage;
};

const maxRepeatBytes = 160;
const maxHeartbeats = 4;

// Every peer's VM list shows this VM by then.
const senderAddressPeriodMs = 60_000;

export function createMessageComposer(
	options: MessageComposerOptions,
): MessageComposer {
	const {self, random, entries, directory, selector} = options;
	let firstMessageAtMs: number | undefined;

	const sampleHeartbeats = (): Heartbeat[] => {
		const {groupPeers} = selector;
		const sample: Heartbeat[] = [];
		const count = Math.min(maxHeartbeats, groupPeers.length);
		const first = random.nextInt(Math.max(1, groupPeers.length));
		for (let index = 0; index < count; index++) {
			const {name} = groupPeers[(first + index) % groupPeers.length];
			const heartbeat = directory.heartbeatOf(name);
			if (heartbeat && heartbeat.incarnation > 0) {
				sample.push(heartbeat);
			}
		}

		return sample;
	};

	return {
		compose(distance, maxBytes, nowMs) {
			firstMessageAtMs ??= nowMs;
			return {
				from: options.ownHeartbeat(),
				configurationVersion: options.configurationVersion(),
				stopping: options.stopping(),
				senderAddress:
					nowMs - firstMessageAtMs < senderAddressPeriodMs ? self : undefined,
				heartbeats: distance === 'group' ? sampleHeartbeats() : [],
				entries: entries.pick({
					distance,
					maxBytes,
					maxRepeatBytes: Math.min(maxRepeatBytes, maxBytes / 4),
					sizeOf: entryBytes,
				}),
			};
		},
	};
}
