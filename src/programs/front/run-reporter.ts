import type {Disposable, Timers} from '../../common/index.js';
import type {RunState} from '../../decisions/scheduling/index.js';

/** What this VM tells of its runs. */
export type RunReporter = Disposable & {
	/** All runs, for a heartbeat. */
	all(): readonly RunState[];
	/** A run began or changed; the VMs that keep account are told soon if it is urgent. */
	set(run: RunState, isUrgent: boolean): void;
	remove(runId: string): void;
};

/** Changes of one moment are told together, in milliseconds. */
const soonMs = 10;

/**
 * Creates reports without runs.
 * @param tell - tells the VMs that keep account of changes
 */
export function createRunReporter(
	timers: Timers,
	tell: (set: readonly RunState[], ended: readonly string[]) => void,
): RunReporter {
	const runs = new Map<string, RunState>();
	let changed = new Set<string>();
	let ended: string[] = [];
	let soon: Disposable | undefined;

	const tellSoon = () => {
		soon ??= timers.after(soonMs, () => {
			soon = undefined;
			const set = [...changed].flatMap((id) => {
				const run = runs.get(id);
				return run ? [run] : [];
			});
			const gone = ended;
			changed = new Set();
			ended = [];
			tell(set, gone);
		});
	};

	return {
		all: () => [...runs.values()],
		set(run, isUrgent) {
			runs.set(run.id, run);
			if (isUrgent) {
				changed.add(run.id);
				tellSoon();
			}
		},
		remove(runId) {
			runs.delete(runId);
			changed.delete(runId);
			ended.push(runId);
			tellSoon();
		},
		dispose() {
			soon?.dispose();
		},
	};
}
