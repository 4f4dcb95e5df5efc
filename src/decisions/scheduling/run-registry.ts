import type {Clock} from '../../common/index.js';
import type {HeldMemory} from './memory-forecast.js';
import type {RunState} from './types.js';

/** What is under way at an engine. */
export type EngineUsage = {
	/** Runs, and copies of runs elsewhere. */
	readonly held: readonly HeldMemory[];
	readonly runCount: number;
	/** Prompts of runs without a first token, in tokens. */
	readonly pendingPromptTokens: number;
};

/** Runs of all VMs, by what each VM told last. */
export type RunRegistry = {
	/** Replaces all runs of a VM. */
	replaceRuns(vm: string, runs: readonly RunState[]): void;
	/** Adds or replaces one run of a VM. */
	set(vm: string, run: RunState): void;
	/** A run has ended, or goes on elsewhere. */
	remove(vm: string, runId: string): void;
	/** Counts a placement until the VM tells of its run. */
	reserve(vm: string, run: RunState): void;
	usageOf(targetId: string): EngineUsage;
	/** Withdraws a reservation; a run that its VM has told of stays. */
	release(vm: string, runId: string): void;
	/** Time for one token at an engine by the runs seen there, in milliseconds. */
	interTokenMs(targetId: string): number;
	/** Drops what VMs told too long ago. */
	removeExpired(): void;
};

type Entry = {
	readonly run: RunState;
	readonly atMs: number;
	/** Set while only this book knows of the run. */
	readonly reservedUntilMs: number | undefined;
};

/** Time after which a silent VM counts as gone, with its runs, in milliseconds. */
const vmTimeoutMs = 3000;
/** Time in which a VM tells of a run that was placed for it, in milliseconds. */
const reservationMs = 1500;
/** Pace of an engine beside a few others, until its runs tell their own. */
const defaultTokenMs = 9;
const minTokenMs = 4;
const maxTokenMs = 100;
const smoothing = 0.3;
/** Shorter spans tell little of the pace. */
const minSpanMs = 400;

/** Time for which the use of an engine counts as it was worked out, in milliseconds; two tokens at most. */
const useMs = 20;

/** Creates a book without runs. */
export function createRunRegistry(clock: Clock): RunRegistry {
	const vms = new Map<string, {heardMs: number; entries: Map<string, Entry>}>();
	const byTarget = new Map<string, Map<string, Entry>>();
	const paces = new Map<string, number>();
	/** What was worked out since the last change of an engine's runs. */
	const uses = new Map<string, {use: EngineUsage; atMs: number}>();

	const keyOf = (vm: string, runId: string) => `${vm} ${runId}`;

	const targetsOf = ({targetId, copyTargetId}: RunState) =>
		copyTargetId === undefined ? [targetId] : [targetId, copyTargetId];

	const vmOf = (vm: string) => {
		let found = vms.get(vm);
		if (!found) {
			found = {heardMs: clock.nowMs(), entries: new Map()};
			vms.set(vm, found);
		}

		return found;
	};

	const drop = (vm: string, runId: string) => {
		const known = vms.get(vm);
		const entry = known?.entries.get(runId);
		if (!known || !entry) {
			return;
		}

		known.entries.delete(runId);
		for (const targetId of targetsOf(entry.run)) {
			uses.delete(targetId);
			const runs = byTarget.get(targetId);
			runs?.delete(keyOf(vm, runId));
			if (runs?.size === 0) {
				byTarget.delete(targetId);
			}
		}
	};

	const put = (vm: string, entry: Entry) => {
		drop(vm, entry.run.id);
		vmOf(vm).entries.set(entry.run.id, entry);
		for (const targetId of targetsOf(entry.run)) {
			uses.delete(targetId);
			const runs = byTarget.get(targetId) ?? new Map<string, Entry>();
			runs.set(keyOf(vm, entry.run.id), entry);
			byTarget.set(targetId, runs);
		}
	};

	const interTokenMs = (targetId: string) =>
		paces.get(targetId) ?? defaultTokenMs;

	const learnPace = (before: Entry | undefined, run: RunState) => {
		const tokens = run.doneTokens - (before?.run.doneTokens ?? 0);
		const spanMs = clock.nowMs() - (before?.atMs ?? 0);
		const isSpan =
			before?.run.targetId === run.targetId && before.run.doneTokens > 0;
		if (!isSpan || tokens <= 0 || spanMs < minSpanMs) {
			return;
		}

		const seenMs = Math.min(maxTokenMs, Math.max(minTokenMs, spanMs / tokens));
		const known = paces.get(run.targetId);
		paces.set(
			run.targetId,
			known === undefined ? seenMs : known + (seenMs - known) * smoothing,
		);
	};

	const set = (vm: string, run: RunState) => {
		const before = vms.get(vm)?.entries.get(run.id);
		learnPace(before, run);
		put(vm, {run, atMs: clock.nowMs(), reservedUntilMs: undefined});
	};

	/** Memory now, by the pace of its engine since the VM told of it. */
	const heldBy = ({run, atMs}: Entry): HeldMemory => {
		const sinceMs = clock.nowMs() - atMs;
		const produced =
			run.doneTokens > 0 ? sinceMs / interTokenMs(run.targetId) : 0;
		const further = Math.min(run.remainingTokens, produced);
		return {
			tokens: run.promptTokens + run.doneTokens + further,
			remainingTokens: run.remainingTokens - further,
		};
	};

	const useNow = (targetId: string): EngineUsage => {
		const held: HeldMemory[] = [];
		let runCount = 0;
		let pendingPromptTokens = 0;
		for (const entry of byTarget.get(targetId)?.values() ?? []) {
			held.push(heldBy(entry));
			const {run} = entry;
			if (run.targetId === targetId) {
				runCount++;
				pendingPromptTokens += run.doneTokens === 0 ? run.promptTokens : 0;
			}
		}

		// Forecasts go by the ends; what is in order is sorted again at little cost.
		held.sort((a, b) => a.remainingTokens - b.remainingTokens);
		return {held, runCount, pendingPromptTokens};
	};

	return {
		replaceRuns(vm, runs) {
			const nowMs = clock.nowMs();
			const known = vmOf(vm);
			known.heardMs = nowMs;
			const told = new Set(runs.map(({id}) => id));
			for (const [id, {reservedUntilMs}] of known.entries) {
				if (!told.has(id) && (reservedUntilMs ?? -Infinity) < nowMs) {
					drop(vm, id);
				}
			}

			for (const run of runs) {
				set(vm, run);
			}
		},
		set(vm, run) {
			vmOf(vm).heardMs = clock.nowMs();
			set(vm, run);
		},
		remove: drop,
		reserve(vm, run) {
			const nowMs = clock.nowMs();
			vmOf(vm).heardMs = nowMs;
			put(vm, {run, atMs: nowMs, reservedUntilMs: nowMs + reservationMs});
		},
		usageOf(targetId) {
			const nowMs = clock.nowMs();
			const known = uses.get(targetId);
			if (known && nowMs - known.atMs < useMs) {
				return known.use;
			}

			const use = useNow(targetId);
			uses.set(targetId, {use, atMs: nowMs});
			return use;
		},
		release(vm, runId) {
			const entry = vms.get(vm)?.entries.get(runId);
			if (entry?.reservedUntilMs !== undefined) {
				drop(vm, runId);
			}
		},
		interTokenMs,
		removeExpired() {
			const nowMs = clock.nowMs();
			for (const [vm, {heardMs, entries}] of vms) {
				for (const [id, {reservedUntilMs}] of entries) {
					const isOver =
						nowMs - heardMs > vmTimeoutMs ||
						(reservedUntilMs ?? Infinity) < nowMs;
					if (isOver) {
						drop(vm, id);
					}
				}

				if (nowMs - heardMs > vmTimeoutMs) {
					vms.delete(vm);
				}
			}
		},
	};
}
