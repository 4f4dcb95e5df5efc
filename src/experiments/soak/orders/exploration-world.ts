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
export const settings = {
	durationMs: 10,
	renewalMs: 1e6,
	resendMs: 1e6,
	lateCopyMs: 20,
};
/** The first holder and the one that follows it. */
export const names = ['a', 'b'] as const;
/** Name of a side. */
export type Name = (typeof names)[number];

/** One copy of a command. */
export type Copy = {
	readonly from: Name;
	readonly commandId: string;
	readonly copyNumber: number;
	readonly order: TargetOrder;
};

/** One holder with what it has under way. */
export type Side = {
	readonly lease: LeaseState;
	/** Write under way to the table, and its result under way back. */
	readonly write?: {readonly record: LeaseRecord; readonly version: number};
	readonly result?: LeaseEvent;
	/** Copy that was decided on and has not departed. */
	readonly leaving?: Copy;
	/** True once the side has announced its own command. */
	readonly announced: boolean;
	readonly condition: 'running' | 'paused' | 'crashed';
};

/** State of everything: both holders, the table, the network and the target. */
export type World = {
	readonly a: Side;
	readonly b: Side;
	readonly row: {readonly record?: LeaseRecord; readonly version: number};
	readonly network: readonly Copy[];
	readonly answers: ReadonlyArray<Copy & {readonly accepted: boolean}>;
	readonly loaded: boolean;
	readonly targetNumber: number;
	readonly lastDeparture?: Copy;
	readonly lastEffect?: Copy;
	readonly nowMs: number;
	readonly crashedMs?: number;
	readonly faultUsed: boolean;
};

/** Identity of a side in lease rows. */
export const holder = (name: Name): LeaseHolder => ({
	vmInstanceId: name,
	incarnation: name,
	listSequence: 0,
});

/** World before the first holder has read the row. */
export function firstWorld(fencing: FencingSupport): World {
	const side = (name: Name): Side => ({
		lease: initialLeaseState(holder(name), fencing, 0),
		announced: false,
		condition: 'running',
	});
	return {
		a: side('a'),
		b: side('b'),
		row: {version: 0},
		network: [],
		answers: [],
		loaded: false,
		targetNumber: 0,
		nowMs: 0,
		faultUsed: false,
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
export function keyOf(world: World): string {
	const {version} = world.row;
	const text = JSON.stringify(
		[
			world,
			...names.flatMap((name) => [
				world[name].lease.version === version,
				world[name].write?.version === version,
			]),
		],
		(name, value: unknown) => (irrelevant.has(name) ? undefined : value),
	);
	return createHash('sha1').update(text).digest('base64url');
}

/** The table applies a write if the row is unchanged. */
export function applyWrite(world: World, name: Name): World {
	const side = world[name];
	const {record, version} = side.write!;
	const done = version < 0 || version === world.row.version;
	const row = done ? {record, version: world.row.version + 1} : world.row;
	const result: LeaseEvent = done
		? {type: 'write-done', version: row.version}
		: {type: 'row-seen', ...row, record: row.record};
	return {...world, row, [name]: {...side, write: undefined, result}};
}
