import {createEmitter, ProblemError} from '../../common/index.js';
import {isSumScope} from './entry-scope.js';
import {createEntryStore} from './entry-store.js';
import {membershipRules} from './membership-rules.js';
import {createMemberDirectory} from './member-directory.js';
import {createUrgentBursts} from './urgent-bursts.js';
import {createMessageComposer} from './message-composer.js';
import {createPeerSelector} from './peer-selector.js';
import type {Membership, MembershipOptions} from './membership-types.js';
import type {
	Distance,
	Heartbeat,
	MemberAddress,
	MembershipMessage,
	OutgoingMessage,
	SharedEntry,
} from './types.js';

/** Time between calls of `tick`, in milliseconds. */
export const tickMs = 250;

const exchangeIntervalMs = 1000;
const maxEntriesBytes = 750;
const maxStoredEntries = 30_000;
const contactTimeoutMs = 6000;
const entriesPerBacklogUnit = 40;
const longBacklogFactor = 3;
const minSendCount = 2;
const extraLeavingSends = 3;

// A new `leaving` entry is sent to several peers at once, so that all VMs have it well within 5 s.
const urgentFanout: readonly Distance[] = ['group', 'group', 'region', 'fleet'];
const maxUrgentEntriesBytes = 200;

/** Creates the state machine of a VM that has no peers yet. */
export function createMembership(options: MembershipOptions): Membership {
	const {self, random, rules = membershipRules} = options;
	const directory = createMemberDirectory(self.name, rules.compareIncarnations);
	const selector = createPeerSelector(self, directory, random);
	const entries = createEntryStore(rules);
	const entryAcceptedEmitter = createEmitter<SharedEntry>();
	const newerConfigurationEmitter = createEmitter<MemberAddress>();
	const processEndedEmitter = createEmitter<string>();
	let {incarnation} = options;
	let heartbeatCounter = 0;
	let entryCounter = 0;
	let exchangeCount = 0;
	let lastExchangeAtMs = Number.NEGATIVE_INFINITY;
	const urgentBursts = createUrgentBursts();

	const backlogFactor: Membership['backlogFactor'] = (kind, values) =>
		Math.max(
			1,
			entries.countPendingAhead({kind, values}) / entriesPerBacklogUnit,
		);

	// An entry is sent often enough to reach every VM of a group. With a long queue each is sent fewer times, so
	// that more different entries are sent; but a `leaving` entry always has the full count and more, because
	// losing one violates the `leaving-target` invariant.
	const sendCount = ({kind, values}: Pick<SharedEntry, 'kind' | 'values'>) => {
		const fullCount = Math.ceil(Math.log2(selector.groupPeers.length + 2)) + 2;
		if (kind === 'leaving') {
			return fullCount + extraLeavingSends;
		}

		return backlogFactor(kind, values) > longBacklogFactor
			? minSendCount
			: fullCount;
	};

	const {compose} = createMessageComposer({
		...options,
		entries,
		directory,
		selector,
		ownHeartbeat: () => ({
			name: self.name,
			incarnation,
			counter: heartbeatCounter,
		}),
	});

	// An earlier process ran under this VM's name with a clock that was ahead of ours. Without a higher
	// incarnation its old values would replace ours.
	const raiseIncarnationAbove = (seenIncarnation: number) => {
		if (seenIncarnation < incarnation) {
			return;
		}

		const own = [...entries.values()].filter(
			(entry) => entry.scope === self.name,
		);
		incarnation = seenIncarnation + 1;
		for (const entry of own) {
			entries.put({...entry, incarnation}, sendCount(entry));
		}
	};

	// Drops what a VM's ended process published, and reports its end.
	const dropEntriesOf = (name: string) => {
		entries.removeScope(name);
		processEndedEmitter.fire(name);
	};

	const recordHeartbeat = (
		heartbeat: Heartbeat,
		direct: boolean,
		nowMs: number,
	) => {
		if (heartbeat.name === self.name) {
			if (heartbeat.incarnation > incarnation) {
				raiseIncarnationAbove(heartbeat.incarnation);
			}

			return;
		}

		const known = directory.heartbeatOf(heartbeat.name)?.incarnation ?? 0;
		directory.recordHeartbeat(heartbeat, direct, nowMs);
		if (
			known > 0 &&
			rules.compareIncarnations(heartbeat.incarnation, known) > 0
		) {
			dropEntriesOf(heartbeat.name);
		}
	};

	const isAcceptable = (entry: SharedEntry): boolean => {
		if (entry.kind === 'leaving' || isSumScope(entry.scope)) {
			return true;
		}

		const known = directory.heartbeatOf(entry.scope);
		return (
			known !== undefined &&
			rules.compareIncarnations(entry.incarnation, known.incarnation) >= 0
		);
	};

	const applyEntry = (entry: SharedEntry, nowMs: number) => {
		if (entry.scope === self.name) {
			if (entry.incarnation > incarnation) {
				raiseIncarnationAbove(entry.incarnation);
			}

			return;
		}

		if (!isAcceptable(entry)) {
			return;
		}

		// An entry may arrive before the first heartbeat of the same process.
		recordHeartbeat(
			{name: entry.scope, incarnation: entry.incarnation, counter: 0},
			false,
			nowMs,
		);
		const known = entries.get(entry.kind, entry.scope, entry.key);
		if (
			(!known && entries.size >= maxStoredEntries) ||
			!entries.put(entry, sendCount(entry))
		) {
			return;
		}

		if (entry.kind === 'leaving') {
			urgentBursts.request(1);
		}

		entryAcceptedEmitter.fire(entry);
	};

	const applyMessage = (message: MembershipMessage, nowMs: number) => {
		if (message.senderAddress && !directory.addressOf(message.from.name)) {
			directory.addUnlisted(message.senderAddress, nowMs);
			selector.refresh();
		}

		recordHeartbeat(message.from, true, nowMs);
		for (const heartbeat of message.heartbeats) {
			recordHeartbeat(heartbeat, false, nowMs);
		}

		for (const entry of message.entries) {
			applyEntry(entry, nowMs);
		}

		const peer = directory.addressOf(message.from.name);
		if (peer && message.configurationVersion > options.configurationVersion()) {
			newerConfigurationEmitter.fire(peer);
		}
	};

	const urgentMessages = (nowMs: number): OutgoingMessage[] => {
		if (!urgentBursts.takeDue(nowMs)) {
			return [];
		}

		const peers = new Map<string, MemberAddress>();
		for (const distance of urgentFanout) {
			const peer = selector.choose(distance, nowMs);
			if (peer) {
				peers.set(peer.name, peer);
			}
		}

		return [...peers.values()].map((peer) => ({
			peer,
			message: compose(
				selector.distanceOf(peer.name),
				maxUrgentEntriesBytes,
				nowMs,
			),
		}));
	};

	return {
		directory,
		entries,
		selector,
		onEntryAccepted: entryAcceptedEmitter.event,
		onNewerConfiguration: newerConfigurationEmitter.event,
		onProcessEnded: processEndedEmitter.event,
		recordVmList(vms, nowMs) {
			const removed = directory.recordVmList(vms, nowMs);
			selector.refresh();
			for (const name of removed) {
				dropEntriesOf(name);
			}
		},
		publish(kind, key, values) {
			entryCounter++;
			const {name: scope} = self;
			entries.put(
				{scope, kind, key, incarnation, counter: entryCounter, values},
				sendCount({kind, values}),
			);
		},
		publishEntry(entry) {
			const isNew = entries.put(entry, sendCount(entry));
			if (isNew && entry.kind === 'leaving') {
				urgentBursts.request(2);
			}

			return isNew;
		},
		tick(nowMs) {
			const messages = urgentMessages(nowMs);
			if (nowMs - lastExchangeAtMs >= exchangeIntervalMs) {
				lastExchangeAtMs = nowMs;
				heartbeatCounter++;
				const peer = selector.chooseForTurn(exchangeCount++, nowMs);
				if (peer) {
					const distance = selector.distanceOf(peer.name);
					const message = compose(distance, maxEntriesBytes, nowMs);
					messages.push({peer, message});
				}
			}

			return messages;
		},
		handleRequest(message, nowMs) {
			if (message.from.name === self.name) {
				throw new ProblemError(
					'peer-protocol',
					`a peer sent a message from "${self.name}", which is the name of this VM`,
					{field: 'from'},
				);
			}

			applyMessage(message, nowMs);
			return compose(
				selector.distanceOf(message.from.name),
				maxEntriesBytes,
				nowMs,
			);
		},
		handleResponse(message, nowMs) {
			directory.recordSuccess(message.from.name, nowMs);
			applyMessage(message, nowMs);
		},
		recordFailure(peer, nowMs) {
			directory.recordFailure(peer, nowMs);
		},
		backlogFactor,
		connected(nowMs) {
			return (
				directory.size === 0 ||
				nowMs - directory.lastSuccessAtMs <= contactTimeoutMs
			);
		},
	};
}
