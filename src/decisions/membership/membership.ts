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
const maxEntryBytes = 750;
const maxHeldEntries = 30_000;
const connectedMs = 6000;
const entriesPerPressure = 40;
const longQueuePressure = 3;
const leastSends = 2;
const extraMarkSends = 3;

/** A new mark goes to several peers at once, so that it is everywhere long before 5 s have passed. */
const urgentFanout: readonly Distance[] = ['group', 'group', 'region', 'fleet'];
const urgentBytes = 200;

/** Creates a VM without peers. */
export function createMembership(options: MembershipOptions): Membership {
	const {self, random, rules = membershipRules} = options;
	const directory = createMemberDirectory(self.name, rules.compareIncarnations);
	const selector = createPeerSelector(self, directory, random);
	const entries = createEntryStore(rules);
	const entryEmitter = createEmitter<SharedEntry>();
	const configurationEmitter = createEmitter<MemberAddress>();
	const forgottenEmitter = createEmitter<string>();
	let {incarnation} = options;
	let beat = 0;
	let counter = 0;
	let turn = 0;
	let exchangeAtMs = Number.NEGATIVE_INFINITY;
	const bursts = createUrgentBursts();

	const backlogFactor: Membership['backlogFactor'] = (kind, values) =>
		Math.max(1, entries.countPendingAhead({kind, values}) / entriesPerPressure);

	// Copies of an entry are many enough to reach every VM of a group, unless other entries wait: then fewer
	// copies of more entries say more. A mark that is lost breaks a promise, so it never has fewer.
	const sendCount = ({kind, values}: Pick<SharedEntry, 'kind' | 'values'>) => {
		const enough = Math.ceil(Math.log2(selector.groupPeers.length + 2)) + 2;
		if (kind === 'leaving') {
			return enough + extraMarkSends;
		}

		return backlogFactor(kind, values) > longQueuePressure
			? leastSends
			: enough;
	};

	const {compose} = createMessageComposer({
		...options,
		entries,
		directory,
		selector,
		ownHeartbeat: () => ({name: self.name, incarnation, counter: beat}),
	});

	// Another process ran under this VM's name with a clock ahead of ours: without a higher incarnation its
	// old values would win over ours.
	const outbid = (seen: number) => {
		if (seen < incarnation) {
			return;
		}

		const own = [...entries.values()].filter(
			(entry) => entry.scope === self.name,
		);
		incarnation = seen + 1;
		for (const entry of own) {
			entries.put({...entry, incarnation}, sendCount(entry));
		}
	};

	const forget = (name: string) => {
		entries.removeScope(name);
		forgottenEmitter.fire(name);
	};

	const observe = (heartbeat: Heartbeat, direct: boolean, nowMs: number) => {
		if (heartbeat.name === self.name) {
			if (heartbeat.incarnation > incarnation) {
				outbid(heartbeat.incarnation);
			}

			return;
		}

		const known = directory.heartbeatOf(heartbeat.name)?.incarnation ?? 0;
		directory.recordHeartbeat(heartbeat, direct, nowMs);
		if (
			known > 0 &&
			rules.compareIncarnations(heartbeat.incarnation, known) > 0
		) {
			forget(heartbeat.name);
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

	const accept = (entry: SharedEntry, nowMs: number) => {
		if (entry.scope === self.name) {
			if (entry.incarnation > incarnation) {
				outbid(entry.incarnation);
			}

			return;
		}

		if (!isAcceptable(entry)) {
			return;
		}

		// An entry may arrive before the first heartbeat of the same run.
		observe(
			{name: entry.scope, incarnation: entry.incarnation, counter: 0},
			false,
			nowMs,
		);
		const known = entries.get(entry.kind, entry.scope, entry.key);
		if (
			(!known && entries.size >= maxHeldEntries) ||
			!entries.put(entry, sendCount(entry))
		) {
			return;
		}

		if (entry.kind === 'leaving') {
			bursts.request(1);
		}

		entryEmitter.fire(entry);
	};

	const take = (message: MembershipMessage, nowMs: number) => {
		if (message.senderAddress && !directory.addressOf(message.from.name)) {
			directory.addUnlisted(message.senderAddress, nowMs);
			selector.refresh();
		}

		observe(message.from, true, nowMs);
		for (const heartbeat of message.heartbeats) {
			observe(heartbeat, false, nowMs);
		}

		for (const entry of message.entries) {
			accept(entry, nowMs);
		}

		const peer = directory.addressOf(message.from.name);
		if (peer && message.configurationVersion > options.configurationVersion()) {
			configurationEmitter.fire(peer);
		}
	};

	const urgentMessages = (nowMs: number): OutgoingMessage[] => {
		if (!bursts.takeDue(nowMs)) {
			return [];
		}

		const peers = new Map<string, MemberAddress>();
		for (const closeness of urgentFanout) {
			const peer = selector.choose(closeness, nowMs);
			if (peer) {
				peers.set(peer.name, peer);
			}
		}

		return [...peers.values()].map((peer) => ({
			peer,
			message: compose(selector.distanceOf(peer.name), urgentBytes, nowMs),
		}));
	};

	return {
		directory,
		entries,
		selector,
		onEntryAccepted: entryEmitter.event,
		onNewerConfiguration: configurationEmitter.event,
		onProcessEnded: forgottenEmitter.event,
		recordVmList(vms, nowMs) {
			const forgotten = directory.recordVmList(vms, nowMs);
			selector.refresh();
			for (const name of forgotten) {
				forget(name);
			}
		},
		publish(kind, key, values) {
			counter++;
			const {name: scope} = self;
			entries.put(
				{scope, kind, key, incarnation, counter, values},
				sendCount({kind, values}),
			);
		},
		publishEntry(entry) {
			const isNew = entries.put(entry, sendCount(entry));
			if (isNew && entry.kind === 'leaving') {
				bursts.request(2);
			}

			return isNew;
		},
		tick(nowMs) {
			const messages = urgentMessages(nowMs);
			if (nowMs - exchangeAtMs >= exchangeIntervalMs) {
				exchangeAtMs = nowMs;
				beat++;
				const peer = selector.chooseForTurn(turn++, nowMs);
				if (peer) {
					const closeness = selector.distanceOf(peer.name);
					const message = compose(closeness, maxEntryBytes, nowMs);
					messages.push({peer, message});
				}
			}

			return messages;
		},
		handleRequest(message, nowMs) {
			if (message.from.name === self.name) {
				throw new ProblemError(
					'peer-protocol',
					`a peer presents itself as "${self.name}", which is this VM`,
					{field: 'from'},
				);
			}

			take(message, nowMs);
			return compose(
				selector.distanceOf(message.from.name),
				maxEntryBytes,
				nowMs,
			);
		},
		handleResponse(message, nowMs) {
			directory.recordSuccess(message.from.name, nowMs);
			take(message, nowMs);
		},
		recordFailure(peer, nowMs) {
			directory.recordFailure(peer, nowMs);
		},
		backlogFactor,
		connected(nowMs) {
			return (
				directory.size === 0 || nowMs - directory.lastSuccessAtMs <= connectedMs
			);
		},
	};
}
