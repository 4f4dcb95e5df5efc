import v8 from 'node:v8';
import vm from 'node:vm';
import process from 'node:process';
import {SeededRandomSource, type VmEntry} from '../../common/index.js';
import {
	createMemberNode,
	type MemberNode,
	type SharedEntry,
} from '../../decisions/membership/index.js';

/** Heap that the membership of one VM uses. */
export type MemoryFigures = {
	readonly perPeerBytes: number;
	/** For each client account and each VM that reports usage of it. */
	readonly perAccountReportBytes: number;
	/** For each target and each VM that reports its load at it. */
	readonly perTargetReportBytes: number;
};

const peerCount = 2000;
const keyCount = 5000;
const entriesPerMessage = 100;

function heapBytes(): number {
	v8.setFlagsFromString('--expose-gc');
	const collectGarbage = vm.runInNewContext('gc') as () => void;
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function entryVm(index: number): VmEntry {
	return {
		name: `entry-${index}`,
		instanceId: `instance-${index}`,
		role: 'entry',
		availabilityZone: `zone-${index % 26}`,
		region: `region-${index % 7}`,
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:7001`,
		state: 'live',
	};
}

function receiveEntries(node: MemberNode, kind: SharedEntry['kind']): void {
	for (let first = 0; first < keyCount; first += entriesPerMessage) {
		node.membership.handleRequest(
			{
				from: {name: 'entry-1', incarnation: 1, counter: first + 1},
				configurationVersion: 0,
				stopping: false,
				heartbeats: [],
				entries: Array.from({length: entriesPerMessage}, (_, index) => ({
					scope: 'entry-1',
					kind,
					key: `${kind}-${first + index}`,
					incarnation: 1,
					counter: first + index,
					values: kind === 'usage' ? [0, 1000, 100, 20, 25] : [4, 4000, 1000],
				})),
			},
			first,
		);
	}
}

/** Measures the heap that peers, usage reports and load reports use. */
export function measureMemory(): MemoryFigures {
	const node = createMemberNode({
		self: entryVm(0),
		incarnation: 1,
		random: new SeededRandomSource(1),
		nowMs: () => 0,
		wallMs: () => 0,
		configurationVersion: () => 0,
		stopping: () => false,
		contractOf: () => ({
			floorTokensPerMinute: 0,
			ceilingTokensPerMinute: 1,
			shareWeight: 1,
		}),
		ownActivity: () => [],
	});
	const initialBytes = heapBytes();
	node.recordVmList(
		Array.from({length: peerCount}, (_, index) => entryVm(index)),
	);
	const bytesWithPeers = heapBytes();
	receiveEntries(node, 'usage');
	const bytesWithAccounts = heapBytes();
	receiveEntries(node, 'activity');
	const bytesWithTargets = heapBytes();
	// Uses the node once more, so that it is not collected before the last measurement.
	if (node.membership.entries.size !== 2 * keyCount) {
		throw new Error(
			`${node.membership.entries.size} entries are stored instead of one for each key and kind`,
		);
	}

	return {
		perPeerBytes: Math.round((bytesWithPeers - initialBytes) / peerCount),
		perAccountReportBytes: Math.round(
			(bytesWithAccounts - bytesWithPeers) / keyCount,
		),
		perTargetReportBytes: Math.round(
			(bytesWithTargets - bytesWithAccounts) / keyCount,
		),
	};
}
