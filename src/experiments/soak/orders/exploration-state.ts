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

/** Settings of the leases: only the duration and the time for late copies pass. */
export const leaseSettings = {
	durationMs: 10,
	renewalMs: 1e6,
	resendMs: 1e6,
	lateCopyMs: 20,
};
/** The first holder and the one that follows it. */
export const holderNames = ['a', 'b'] as const;
/** Name of a side. */
export type HolderName = (typeof holderNames)[number];

/** One copy of a command. */
export type CommandCopy = {
	readonly from: HolderName;
	readonly commandId: string;
	readonly copyNumber: number;
	readonly order: TargetOrder;
};

/** One holder with what it has under way. */
export type HolderState = {
	readonly lease: LeaseState;
	/** Write under way to the table, and its result under way back. */
	readonly pendingWrite?: {
		readonly record: LeaseRecord;
		readonly version: number;
	};
	readonly pendingResult?: LeaseEvent;
	/** Copy that was decided on and has not departed. */
	readonly unsentCopy?: CommandCopy;
	/** True once the side has announced its own command. */
	readonly hasAnnounced: boolean;
	readonly processState: 'running' | 'paused' | 'crashed';
};

/** State of everything: both holders, the table, the network and the target. */
export type ExplorationState = {
	readonly a: HolderState;
	readonly b: HolderState;
	readonly row: {readonly record?: LeaseRecord; readonly version: number};
	readonly copiesInFlight: readonly CommandCopy[];
	readonly responses: ReadonlyArray<CommandCopy & {readonly accepted: boolean}>;
	readonly isLoaded: boolean;
	readonly highestFencingNumber: number;
	readonly lastSentCopy?: CommandCopy;
	readonly lastAppliedCopy?: CommandCopy;
	readonly nowMs: number;
	readonly crashedAtMs?: number;
	readonly hasFaulted: boolean;
};

/** Identity of a side in lease rows. */
export const leaseHolder = (name: HolderName): LeaseHolder => ({
	vmInstanceId: name,
	incarnation: name,
	listSequence: 0,
});

/** World before the first holder has read the row. */
export function createInitialState(fencing: FencingSupport): ExplorationState {
	const side = (name: HolderName): HolderState => ({
		lease: initialLeaseState(leaseHolder(name), fencing, 0),
		hasAnnounced: false,
		processState: 'running',
	});
	return {
		a: side('a'),
		b: side('b'),
		row: {version: 0},
		copiesInFlight: [],
		responses: [],
		isLoaded: false,
		highestFencingNumber: 0,
		nowMs: 0,
		hasFaulted: false,
	};
}

// Parts that no decision of this exploration depends on: nothing is renewed or sent again by time.
const irrelevant = new Set([
	'renewal',
	'renewedMs',
	'freeSinceMs',
	'sentMs',
	'reportMs',
	'wantedModels',
	'version',
]);

// Of versions only it matters whether they are those of the row, which only grow.
/** Key under which equal worlds count as one. */
export function stateKey(world: ExplorationState): string {
	const {version} = world.row;
	const text = JSON.stringify(
		[
			world,
			...holderNames.flatMap((name) => [
				world[name].lease.version === version,
				world[name].pendingWrite?.version === version,
			]),
		],
		(name, value: unknown) => (irrelevant.has(name) ? undefined : value),
	);
	return createHash('sha1').update(text).digest('base64url');
}

/** The table applies a write if the row is unchanged. */
export function applyWrite(
	world: ExplorationState,
	name: HolderName,
): ExplorationState {
	const side = world[name];
	const {record, version} = side.pendingWrite!;
	const done = version < 0 || version === world.row.version;
	const row = done ? {record, version: world.row.version + 1} : world.row;
	const result: LeaseEvent = done
		? {type: 'write-done', version: row.version}
		: {type: 'row-seen', ...row, record: row.record};
	return {...world, row, [name]: {...side, write: undefined, result}};
}
