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
	revision,
	changeVersion,
	ageMs,
}: TableSyncState) => [
	revision.version,
	changeVersion,
	Math.round(Math.min(ageMs, maxAgeMs)),
	revision.era,
];

/** Sent for larger ages, since JSON cannot hold Infinity. */
const maxAgeMs = 1e9;

/** Decodes a state; one without an era, from an older build, is of era 0. */
export function decodeTableState(fields: FieldReader): TableSyncState {
	const version = fields.number();
	const changeVersion = fields.number();
	const ageMs = fields.number();
	const era = fields.numberOr(0);
	return {revision: {era, version}, changeVersion, ageMs};
}
