import v8 from 'node:v8';
import vm from 'node:vm';
import process from 'node:process';
import {SeededRandomSource, type VmEntry} from '../../common/index.js';
import {
	createMemberNode,
	type MemberNode,
	type SharedEntry,
} from '../../decisions/membership/index.js';

/** Memory of one VM's membership, in bytes. */
export type MemoryFigures = {
	readonly perPeerBytes: number;
	/** For each account and source that reports on it. */
	readonly perAccountReportBytes: number;
	/** For each target and source that reports on it. */
	readonly perTargetReportBytes: number;
};

const peers = 2000;
const keys = 5000;
const entriesPerMessage = 100;

function heapBytes(): number {
	v8.setFlagsFromString('--expose-gc');
	const collect = vm.runInNewContext('gc') as () => void;
	collect();
	collect();
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

function receive(node: MemberNode, kind: SharedEntry['kind']): void {
	for (let first = 0; first < keys; first += entriesPerMessage) {
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

/** Measures the heap that peers, reports on accounts and reports on targets take. */
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
	const start = heapBytes();
	node.recordVmList(Array.from({length: peers}, (_, index) => entryVm(index)));
	const withPeers = heapBytes();
	receive(node, 'usage');
	const withAccounts = heapBytes();
	receive(node, 'activity');
	const withTargets = heapBytes();
	// The node has to outlive the last measurement.
	if (node.membership.entries.size !== 2 * keys) {
		throw new Error(`${node.membership.entries.size} entries were kept`);
	}

	return {
		perPeerBytes: Math.round((withPeers - start) / peers),
		perAccountReportBytes: Math.round((withAccounts - withPeers) / keys),
		perTargetReportBytes: Math.round((withTargets - withAccounts) / keys),
	};
}
