import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createMemberList,
	decodeFleetMessage,
	type Heartbeat,
	type MemberInfo,
	type StoreReadState,
} from '../../decisions/fleet/index.js';
import {createRunRegistry} from '../../decisions/scheduling/index.js';
import {VirtualTime} from '../../experiments/fakes/index.js';
import {createMembershipProtocol} from './membership-protocol.js';

const memberInfo = (
	address: string,
	storeReadState: StoreReadState,
): MemberInfo => ({
	address,
	availabilityZone: 'zone-1',
	instanceId: 'i',
	cpuMsPerSecond: 324,
	storeReadState,
});
const tableState = {
	revision: {era: 0, version: 4},
	changeVersion: 4,
	ageMs: 0,
};
const tableStates = {
	configuration: tableState,
	targets: tableState,
	operatorVersion: 2,
};

test('a coordinator broadcasts at once when the last reader loses the store, so that VMs poll leaving engines in time', async () => {
	const time = new VirtualTime();
	const own = {reading: 'reading' as StoreReadState};
	const members = createMemberList(time, memberInfo('a', 'reading'));
	const broadcasts: string[] = [];
	const exchange = createMembershipProtocol({
		clock: time,
		address: 'a',
		seeds: [],
		members,
		runRegistry: createRunRegistry(time),
		runs: () => [],
		ownInfo: () => memberInfo('a', own.reading),
		tableStates: () => tableStates,
		onPeerTableStates() {
			// Irrelevant here.
		},
		onMemberArrived() {
			// Irrelevant here.
		},
		sendText() {
			// Only broadcasts are examined.
		},
		sendToAll(text) {
			broadcasts.push(text);
		},
	});
	let sequence = 0;
	const receiveHeartbeat = (address: string, reading: StoreReadState) => {
		sequence++;
		const message: Heartbeat = {
			kind: 'heartbeat',
			sender: memberInfo(address, reading),
			sequence,
			...tableStates,
			runs: [],
		};
		exchange.handleHeartbeat(address, message);
	};

	await time.runUntil(2000);
	receiveHeartbeat('b', 'reading');
	receiveHeartbeat('c', 'idle');
	own.reading = 'lost';
	assert.deepEqual(broadcasts, []);
	await time.runUntil(2100);
	receiveHeartbeat('b', 'lost');
	assert.equal(broadcasts.length, 1);
	const beacon = decodeFleetMessage(JSON.parse(broadcasts[0]));
	const other = createMemberList(time, memberInfo('z', 'idle'));
	assert.equal(beacon.kind, 'beacon');
	if (beacon.kind === 'beacon') {
		other.recordSeen(beacon.sender, 0);
		for (const [member, ageMs] of beacon.members) {
			other.recordSeen(member, ageMs);
		}
	}

	assert.equal(other.haveReadersLostStore('idle'), true);
	await time.runUntil(2200);
	receiveHeartbeat('c', 'lost');
	assert.equal(broadcasts.length, 1);
});
