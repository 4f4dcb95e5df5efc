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

/** What messages are made of. */
export type MessageComposerOptions = {
	readonly self: MemberAddress;
	readonly random: RandomSource;
	readonly entries: EntryStore;
	readonly directory: MemberDirectory;
	readonly selector: PeerSelector;
	readonly configurationVersion: () => number;
	readonly stopping: () => boolean;
	/** This VM's own heartbeat. */
	readonly ownHeartbeat: () => Heartbeat;
};

/** Makes messages within the bounds on their size. */
export type MessageComposer = {
	compose(
		closeness: Distance,
		maxBytes: number,
		nowMs: number,
	): MembershipMessage;
};

const maxRepeatBytes = 160;
const maxHeartbeats = 4;

// By then every VM list shows this VM.
const introductionMs = 60_000;

/** Creates a composer; a VM introduces itself for a while after the first message. */
export function createMessageComposer(
	options: MessageComposerOptions,
): MessageComposer {
	const {self, random, entries, directory, selector} = options;
	let startedAtMs: number | undefined;

	const heartbeatSample = (): Heartbeat[] => {
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
			startedAtMs ??= nowMs;
			return {
				from: options.ownHeartbeat(),
				configurationVersion: options.configurationVersion(),
				stopping: options.stopping(),
				senderAddress: nowMs - startedAtMs < introductionMs ? self : undefined,
				heartbeats: distance === 'group' ? heartbeatSample() : [],
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
