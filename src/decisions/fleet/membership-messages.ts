import type {FieldReader} from './field-reader.js';
import type {MemberInfo, StoreReadState, TableSyncState} from './types.js';

/** The index of a state is its value on the wire. */
const storeReadStates: readonly StoreReadState[] = ['idle', 'lost', 'reading'];

export const encodeMember = (member: MemberInfo) => [
	member.address,
	member.availabilityZone,
	member.instanceId,
	Math.round(member.cpuMsPerSecond),
	storeReadStates.indexOf(member.storeReadState),
];

export function decodeMember(fields: FieldReader): MemberInfo {
	return {
		address: fields.string(),
		availabilityZone: fields.string(),
		instanceId: fields.string(),
		cpuMsPerSecond: fields.number(),
		storeReadState: storeReadStates[fields.number()] ?? 'lost',
	};
}

export const encodeTableState = ({
	version,
	changeVersion,
	ageMs,
}: TableSyncState) => [
	version,
	changeVersion,
	Math.round(Math.min(ageMs, maxAgeMs)),
];

/** Sent for larger ages, since JSON cannot hold Infinity. */
const maxAgeMs = 1e9;

export function decodeTableState(fields: FieldReader): TableSyncState {
	return {
		version: fields.number(),
		changeVersion: fields.number(),
		ageMs: fields.number(),
	};
}
