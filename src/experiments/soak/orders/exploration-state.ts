import {createHash} from 'node:crypto';
import type {
	FencingSupport,
	LeaseHolder,
	TargetOrder,
} from '../../../common/index.js';
import {
	initialLeaseState,
	type LeaseEvent,
	type LeaseRecord,
	type LeaseState,
} from '../../../decisions/leases/index.js';

/**
 * Lease settings. Renewals and resends are never due, so that the lease duration and the time for late
 * copies are the only times that matter.
 */
export const leaseSettings = {
	durationMs: 10,
	renewalMs: 1e6,
	resendMs: 1e6,
	lateCopyMs: 20,
};

/** Names of the first holder of the lease and of the process that succeeds it. */
export const holderNames = ['a', 'b'] as const;
/** Name of the holder or its successor. */
export type HolderName = (typeof holderNames)[number];

/** One transmission of a command. */
export type CommandCopy = {
	readonly from: HolderName;
	readonly commandId: string;
	readonly copyNumber: number;
	readonly order: TargetOrder;
};

/** State of one holder with its pending write, result and command. */
export type HolderState = {
	readonly lease: LeaseState;
	/** Write that has not reached the table. */
	readonly pendingWrite?: {
		readonly record: LeaseRecord;
		readonly version: number;
	};
	/** Result of a write that has not reached the holder. */
	readonly pendingResult?: LeaseEvent;
	/** Copy that was decided on and is not yet sent. */
	readonly unsentCopy?: CommandCopy;
	/** True once the holder has announced its own command. */
	readonly hasAnnounced: boolean;
	readonly processState: 'running' | 'paused' | 'crashed';
};

/** State of the whole simulation: both holders, the lease row, the network and the target. */
export type ExplorationState = {
	readonly a: HolderState;
	readonly b: HolderState;
	readonly row: {readonly record?: LeaseRecord; readonly version: number};
	readonly copiesInFlight: readonly CommandCopy[];
	readonly responses: ReadonlyArray<CommandCopy & {readonly accepted: boolean}>;
	/** Whether the target has the model. */
	readonly isLoaded: boolean;
	/** Highest fencing number that has reached the target. */
	readonly highestFencingNumber: number;
	readonly lastSentCopy?: CommandCopy;
	readonly lastAppliedCopy?: CommandCopy;
	readonly nowMs: number;
	readonly crashedAtMs?: number;
	/** True once the first holder was paused or crashed; this happens at most once. */
	readonly hasFaulted: boolean;
};

/** Identity of a holder in lease rows. */
export const leaseHolder = (name: HolderName): LeaseHolder => ({
	vmInstanceId: name,
	incarnation: name,
	listSequence: 0,
});

/** Creates the state before the first holder has read the row. */
export function createInitialState(fencing: FencingSupport): ExplorationState {
	const createHolder = (name: HolderName): HolderState => ({
		lease: initialLeaseState(leaseHolder(name), fencing, 0),
		hasAnnounced: false,
		processState: 'running',
	});
	return {
		a: createHolder('a'),
		b: createHolder('b'),
		row: {version: 0},
		copiesInFlight: [],
		responses: [],
		isLoaded: false,
		highestFencingNumber: 0,
		nowMs: 0,
		hasFaulted: false,
	};
}

// No lease decision of the exploration depends on these properties: renewals and resends are never due,
// and only the coordinator reads `freeSinceMs`. For row versions `stateKey` adds only whether they equal
// the current one.
const ignoredProperties = new Set([
	'renewal',
	'renewedMs',
	'freeSinceMs',
	'sentMs',
	'reportMs',
	'wantedModels',
	'version',
]);

/** Returns a key that is equal for states which no decision can tell apart. */
export function stateKey(state: ExplorationState): string {
	const {version} = state.row;
	const text = JSON.stringify(
		[
			state,
			...holderNames.flatMap((name) => [
				state[name].lease.version === version,
				state[name].pendingWrite?.version === version,
			]),
		],
		(name, value: unknown) => (ignoredProperties.has(name) ? undefined : value),
	);
	return createHash('sha1').update(text).digest('base64url');
}

/**
 * Delivers the pending write of a holder: the table applies it if the row version is the expected one or
 * the write has no condition (negative version).
 */
export function applyWrite(
	state: ExplorationState,
	name: HolderName,
): ExplorationState {
	const holder = state[name];
	const {record, version} = holder.pendingWrite!;
	const isApplied = version < 0 || version === state.row.version;
	const row = isApplied ? {record, version: state.row.version + 1} : state.row;
	const result: LeaseEvent = isApplied
		? {type: 'write-done', version: row.version}
		: {type: 'row-seen', ...row, record: row.record};
	return {
		...state,
		row,
		[name]: {...holder, pendingWrite: undefined, pendingResult: result},
	};
}
