import {
	ProblemError,
	RowStore,
	SeededRandomSource,
	storeRevision,
	type TableChanges,
	type TableSnapshot,
} from '../../../common/index.js';
import {VirtualTime} from '../../../experiments/fakes/index.js';
import {createTableSyncTracker} from '../../fleet/index.js';
import {followTable} from '../table-follower.js';

/** A store whose reads return scripted results in their order; without one, a read lasts for ever. */
export class ScriptedStore extends RowStore {
	snapshots: Array<TableSnapshot | ProblemError> = [];
	changeReads: Array<TableChanges | ProblemError> = [];
	readonly readsAfter: number[] = [];

	override async snapshot(): Promise<TableSnapshot> {
		return this.next(this.snapshots);
	}

	override async changes(
		_table: string,
		afterVersion: number,
	): Promise<TableChanges> {
		this.readsAfter.push(afterVersion);
		return this.next(this.changeReads);
	}

	override async put(): Promise<void> {
		throw new Error('not used');
	}

	private async next<T>(script: Array<T | ProblemError>): Promise<T> {
		const step = script.shift();
		if (step === undefined) {
			return new Promise(() => {
				// Never resolves, as a read without changes.
			});
		}

		if (step instanceof ProblemError) {
			throw step;
		}

		return step;
	}
}

/** Callbacks of a table listener that can throw. */
export type Callback = 'changes' | 'regained' | 'snapshot';

/**
 * Follows a store in virtual time and records what the listener gets.
 * @param failingCallbacks - callbacks that throw, once for each entry
 */
export function followInTest(
	store: RowStore,
	failingCallbacks: Callback[] = [],
	seed = 1,
) {
	const failIfRequested = (callback: Callback) => {
		const index = failingCallbacks.indexOf(callback);
		if (index !== -1) {
			failingCallbacks.splice(index, 1);
			throw new Error(`planted in ${callback}`);
		}
	};

	const time = new VirtualTime();
	const role = {isReader: true};
	const events: string[] = [];
	const reasons: string[] = [];
	const syncTracker = createTableSyncTracker(time);
	const follower = followTable(
		{
			store,
			clock: time,
			timers: time,
			random: new SeededRandomSource(seed),
			table: 'op',
			syncTracker,
			isReader: () => role.isReader,
			waitMs: () => 1000,
			maxAgeMs: () => 1400,
			minIntervalMs: 10,
			onUnexpected(error) {
				events.push(`unexpected ${(error as Error).message}`);
			},
		},
		{
			onSnapshot({revision: {era, version}}) {
				events.push(`snapshot ${version}${era > 0 ? ` of era ${era}` : ''}`);
				failIfRequested('snapshot');
			},
			onChanges(changes) {
				events.push(`changes ${changes.map(({key}) => key).join(' ')}`);
				failIfRequested('changes');
			},
			onRead(reason) {
				reasons.push(reason);
			},
			onLost({type}) {
				events.push(`lost ${type}`);
			},
			onRegained() {
				events.push('regained');
				failIfRequested('regained');
			},
		},
	);
	return {time, events, reasons, follower, syncTracker, role};
}

/** An empty row. */
export const row = (key: string, version: number, era = 0) => ({
	key,
	revision: storeRevision(version, era),
	value: new Uint8Array(),
});
