import type {Clock} from '../../common/index.js';
import type {HeldMemory} from './memory-forecast.js';
import type {RunState} from './types.js';

/** Load of an engine. */
export type EngineUse = {
	/** Memory of the runs on the engine and of the copies that it holds for runs elsewhere. */
	readonly held: readonly HeldMemory[];
	/** Number of runs, without copies. */
	readonly runCount: number;
	/** Prompts of runs without a first token, in tokens. */
	readonly pendingPromptTokens: number;
};

/** Runs of all VMs, by the last report of each VM, and reservations for placements. */
export type RunRegistry = {
	/** Replaces all runs of a VM, as after a heartbeat; reservations are kept until they expire. */
	replaceRuns(vm: string, runs: readonly RunState[]): void;
	/** Adds or replaces one run of a VM. */
	set(vm: string, run: RunState): void;
	/** Removes a run that has ended. */
	remove(vm: string, runId: string): void;
	/** Counts a placement as a run until the VM reports it or the reservation expires. */
	reserve(vm: string, run: RunState): void;
	use(targetId: string): EngineUse;
	/** Removes a reservation; a run that its VM has reported stays. */
	release(vm: string, runId: string): void;
	/** Time between two tokens of a run, measured on the runs of the engine, in milliseconds. */
	tokenMs(targetId: string): number;
	/** Removes expired reservations, and silent VMs with their runs. */
	removeExpired(): void;
};

type Entry = {
	readonly run: RunState;
	/** Monotonic time of the report or reservation, in milliseconds. */
	readonly atMs: number;
	/** End of the reservation; undefined once the VM has reported the run. */
	readonly reservedUntilMs: number | undefined;
};

/** Time without a report after which a VM is removed with its runs, in milliseconds. */
const vmTimeoutMs = 3000;
/** Time in which a VM reports a run that was placed for it, in milliseconds. */
const reservationMs = 1500;
/** Time between tokens on an engine with a few runs, until its own runs show theirs. */
const defaultTokenMs = 9;
const minTokenMs = 4;
const maxTokenMs = 100;
/** Weight of a new measurement in the moving average. */
const smoothing = 0.3;
/** Shortest time between two reports that gives a measurement, in milliseconds; shorter ones are noisy. */
const minSpanMs = 400;

/** Time for which a computed use stays valid, in milliseconds; two tokens at most. */
const useCacheMs = 20;

export function createRunRegistry(clock: Clock): RunRegistry {
	const vms = new Map<
		string,
		{lastReportMs: number; entries: Map<string, Entry>}
	>();
	const entriesByTarget = new Map<string, Map<string, Entry>>();
	const measuredTokenMs = new Map<string, number>();
	/** Computed since the last change of the engine's runs. */
	const cachedUses = new Map<string, {use: EngineUse; atMs: number}>();

	const keyOf = (vm: string, runId: string) => `${vm} ${runId}`;

	const targetsOf = ({targetId, copyTargetId}: RunState) =>
		copyTargetId === undefined ? [targetId] : [targetId, copyTargetId];

	const vmOf = (vm: string) => {
		let found = vms.get(vm);
		if (!found) {
			found = {lastReportMs: clock.nowMs(), entries: new Map()};
			vms.set(vm, found);
		}

		return found;
	};

	const remove = (vm: string, runId: string) => {
		const known = vms.get(vm);
		const entry = known?.entries.get(runId);
		if (!known || !entry) {
			return;
		}

		known.entries.delete(runId);
		for (const targetId of targetsOf(entry.run)) {
			cachedUses.delete(targetId);
			const entries = entriesByTarget.get(targetId);
			entries?.delete(keyOf(vm, runId));
			if (entries?.size === 0) {
				entriesByTarget.delete(targetId);
			}
		}
	};

	const put = (vm: string, entry: Entry) => {
		remove(vm, entry.run.id);
		vmOf(vm).entries.set(entry.run.id, entry);
		for (const targetId of targetsOf(entry.run)) {
			cachedUses.delete(targetId);
			const entries = entriesByTarget.get(targetId) ?? new Map<string, Entry>();
			entries.set(keyOf(vm, entry.run.id), entry);
			entriesByTarget.set(targetId, entries);
		}
	};

	const tokenMs = (targetId: string) =>
		measuredTokenMs.get(targetId) ?? defaultTokenMs;

	const measureTokenMs = (previous: Entry | undefined, run: RunState) => {
		const tokens = run.doneTokens - (previous?.run.doneTokens ?? 0);
		const spanMs = clock.nowMs() - (previous?.atMs ?? 0);
		// Both reports must come from the decode phase on the same engine.
		const isComparable =
			previous?.run.targetId === run.targetId && previous.run.doneTokens > 0;
		if (!isComparable || tokens <= 0 || spanMs < minSpanMs) {
			return;
		}

		const seenMs = Math.min(maxTokenMs, Math.max(minTokenMs, spanMs / tokens));
		const known = measuredTokenMs.get(run.targetId);
		measuredTokenMs.set(
			run.targetId,
			known === undefined ? seenMs : known + (seenMs - known) * smoothing,
		);
	};

	const set = (vm: string, run: RunState) => {
		const previous = vms.get(vm)?.entries.get(run.id);
		measureTokenMs(previous, run);
		put(vm, {run, atMs: clock.nowMs(), reservedUntilMs: undefined});
	};

	/** Extrapolates the memory of a run from its last report, at the engine's time between tokens. */
	const extrapolateHeld = ({run, atMs}: Entry): HeldMemory => {
		const sinceMs = clock.nowMs() - atMs;
		const produced = run.doneTokens > 0 ? sinceMs / tokenMs(run.targetId) : 0;
		const further = Math.min(run.remainingTokens, produced);
		return {
			tokens: run.promptTokens + run.doneTokens + further,
			remainingTokens: run.remainingTokens - further,
		};
	};

	const computeUse = (targetId: string): EngineUse => {
		const held: HeldMemory[] = [];
		let runCount = 0;
		let pendingPromptTokens = 0;
		for (const entry of entriesByTarget.get(targetId)?.values() ?? []) {
			held.push(extrapolateHeld(entry));
			const {run} = entry;
			if (run.targetId === targetId) {
				runCount++;
				pendingPromptTokens += run.doneTokens === 0 ? run.promptTokens : 0;
			}
		}

		// Forecasts sort by remaining tokens again, which costs little if the order is right already.
		held.sort((a, b) => a.remainingTokens - b.remainingTokens);
		return {held, runCount, pendingPromptTokens};
	};

	return {
		replaceRuns(vm, runs) {
			const nowMs = clock.nowMs();
			const known = vmOf(vm);
			known.lastReportMs = nowMs;
			const reportedIds = new Set(runs.map(({id}) => id));
			for (const [id, {reservedUntilMs}] of known.entries) {
				if (!reportedIds.has(id) && (reservedUntilMs ?? -Infinity) < nowMs) {
					remove(vm, id);
				}
			}

			for (const run of runs) {
				set(vm, run);
			}
		},
		set(vm, run) {
			vmOf(vm).lastReportMs = clock.nowMs();
			set(vm, run);
		},
		remove,
		reserve(vm, run) {
			const nowMs = clock.nowMs();
			vmOf(vm).lastReportMs = nowMs;
			put(vm, {run, atMs: nowMs, reservedUntilMs: nowMs + reservationMs});
		},
		use(targetId) {
			const nowMs = clock.nowMs();
			const cached = cachedUses.get(targetId);
			if (cached && nowMs - cached.atMs < useCacheMs) {
				return cached.use;
			}

			const use = computeUse(targetId);
			cachedUses.set(targetId, {use, atMs: nowMs});
			return use;
		},
		release(vm, runId) {
			const entry = vms.get(vm)?.entries.get(runId);
			if (entry?.reservedUntilMs !== undefined) {
				remove(vm, runId);
			}
		},
		tokenMs,
		removeExpired() {
			const nowMs = clock.nowMs();
			for (const [vm, {lastReportMs, entries}] of vms) {
				for (const [id, {reservedUntilMs}] of entries) {
					const isExpired =
						nowMs - lastReportMs > vmTimeoutMs ||
						(reservedUntilMs ?? Infinity) < nowMs;
					if (isExpired) {
						remove(vm, id);
					}
				}

				if (nowMs - lastReportMs > vmTimeoutMs) {
					vms.delete(vm);
				}
			}
		},
	};
}
