import type {Disposable, Timers} from '../../common/index.js';
import type {RunState} from '../../decisions/scheduling/index.js';

/**
 * Keeps the state of this VM's runs and reports changes to the coordinator and its standby in batches.
 */
export type RunReporter = Disposable & {
	/** State of all runs, for the heartbeat. */
	all(): readonly RunState[];
	/**
	 * Adds a run or replaces its state.
	 * @param isUrgent - true to report it with the next batch; otherwise with the next heartbeat only
	 */
	set(run: RunState, isUrgent: boolean): void;
	/** Removes a run that has ended, and reports that with the next batch. */
	remove(runId: string): void;
};

/** Time for which changes are collected before they are sent together, in milliseconds. */
const batchDelayMs = 10;

/** @param send - sends the changed and the ended runs to the coordinator and its standby */
export function createRunReporter(
	timers: Timers,
	send: (set: readonly RunState[], ended: readonly string[]) => void,
): RunReporter {
	const runs = new Map<string, RunState>();
	let changed = new Set<string>();
	let ended: string[] = [];
	let batchTimer: Disposable | undefined;

	const sendSoon = () => {
		batchTimer ??= timers.after(batchDelayMs, () => {
			batchTimer = undefined;
			const set = [...changed].flatMap((id) => {
				const run = runs.get(id);
				return run ? [run] : [];
			});
			const removed = ended;
			changed = new Set();
			ended = [];
			send(set, removed);
		});
	};

	return {
		all: () => [...runs.values()],
		set(run, isUrgent) {
			runs.set(run.id, run);
			if (isUrgent) {
				changed.add(run.id);
				sendSoon();
			}
		},
		remove(runId) {
			runs.delete(runId);
			changed.delete(runId);
			ended.push(runId);
			sendSoon();
		},
		dispose() {
			batchTimer?.dispose();
		},
	};
}
