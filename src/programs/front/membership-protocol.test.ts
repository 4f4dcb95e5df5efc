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

const mark = (address: string, storeReadState: StoreReadState): MemberInfo => ({
	address,
	availabilityZone: 'zone-1',
	instanceId: 'i',
	cpuMsPerSecond: 324,
	storeReadState,
});
const table = {version: 4, changeVersion: 4, ageMs: 0};

test('guards against engines that leave unnoticed, because all learn late that the store is away', async () => {
	const time = new VirtualTime();
	const own = {reading: 'reading' as StoreReadState};
	const members = createMemberList(time, mark('a', 'reading'));
	const told: string[] = [];
	const exchange = createMembershipProtocol({
		clock: time,
		address: 'a',
		seeds: [],
		members,
		book: createRunRegistry(time),
		runs: () => [],
		ownMark: () => mark('a', own.reading),
		configurationMark: () => table,
		targetsMark: () => table,
		onMarks() {
			// The tables are not looked at.
		},
		sendText() {
			// Only what all are told is looked at.
		},
		sendToAll(text) {
			told.push(text);
		},
	});
	let sequence = 0;
	const hear = (address: string, reading: StoreReadState) => {
		sequence++;
		const message: Heartbeat = {
			kind: 'heartbeat',
			sender: mark(address, reading),
			sequence,
			configuration: table,
			targets: table,
			runs: [],
		};
		exchange.handleHeartbeat(address, message);
	};

	await time.runUntil(2000);
	hear('b', 'reading');
	hear('c', 'idle');
	own.reading = 'lost';
	assert.deepEqual(told, []);
	await time.runUntil(2100);
	hear('b', 'lost');
	assert.equal(told.length, 1);
	const beacon = decodeFleetMessage(JSON.parse(told[0]));
	const other = createMemberList(time, mark('z', 'idle'));
	assert.equal(beacon.kind, 'beacon');
	if (beacon.kind === 'beacon') {
		other.recordSeen(beacon.sender, 0);
		for (const [member, ageMs] of beacon.members) {
			other.recordSeen(member, ageMs);
		}
	}

	assert.equal(other.haveReadersLostStore('idle'), true);
	await time.runUntil(2200);
	hear('c', 'lost');
	assert.equal(told.length, 1);
});
