import type {Clock} from '../../common/index.js';
import type {HeldMemory} from './memory-forecast.js';
import type {RunState} from './types.js';

/** Usage of an engine by runs. */
export type EngineUsage = {
	/** Memory of the runs on the engine and of the copies that it holds for runs elsewhere. */
	readonly held: readonly HeldMemory[];
	/** Number of runs, without copies. */
	readonly runCount: number;
	/** Priorities of the runs, without copies; 0 is the most urgent. */
	readonly runPriorities: readonly number[];
	/** Memory of the runs of each client account, without copies, in tokens. */
	readonly accountTokens: ReadonlyMap<string, number>;
	/** Prompts of runs without a first token, in tokens. */
	readonly pendingPromptTokens: number;
};

/**
 * Runs of all VMs, by the last report of each VM, and reservations for placements. VMs are named by their
 * address.
 */
export type RunRegistry = {
	/** Replaces all runs of a VM, as after a heartbeat; reservations are kept until they expire. */
	replaceRuns(vm: string, runs: readonly RunState[]): void;
	/** Adds or replaces one run of a VM. */
	set(vm: string, run: RunState): void;
	/** Removes a run that has ended. */
	remove(vm: string, runId: string): void;
	/** Counts a placement as a run until the VM reports it or the reservation expires. */
	reserve(vm: string, run: RunState): void;
	/** Usage now; runs are extrapolated from their last report. */
	usageOf(targetId: string): EngineUsage;
	/** Memory that the runs of each client account hold on some engines, without copies, in tokens. */
	accountTokens(
		engines: ReadonlyArray<{readonly targetId: string}>,
	): ReadonlyMap<string, number>;
	/** Removes a reservation; a run that its VM has reported stays. */
	release(vm: string, runId: string): void;
	/** Inter-token latency measured on the runs of the engine, in milliseconds. */
	interTokenMs(targetId: string): number;
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
/** Inter-token latency of an engine with a few runs; used until it is measured. */
const defaultInterTokenMs = 9;
const minInterTokenMs = 4;
const maxInterTokenMs = 100;
/** Weight of a new measurement in the moving average. */
const smoothing = 0.3;
/** Shortest time between two reports that gives a measurement, in milliseconds; shorter ones are noisy. */
const minSpanMs = 400;

/** Time for which a computed usage stays valid, in milliseconds; about two tokens at the usual speed. */
const usageCacheMs = 20;

export function createRunRegistry(clock: Clock): RunRegistry {
	const vms = new Map<
		string,
		{lastReportMs: number; entries: Map<string, Entry>}
	>();
	const entriesByTarget = new Map<string, Map<string, Entry>>();
	const measuredInterTokenMs = new Map<string, number>();
	/** Computed since the last change of the engine's runs. */
	const cachedUsages = new Map<string, {usage: EngineUsage; atMs: number}>();

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
			cachedUsages.delete(targetId);
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
			cachedUsages.delete(targetId);
			const entries = entriesByTarget.get(targetId) ?? new Map<string, Entry>();
			entries.set(keyOf(vm, entry.run.id), entry);
			entriesByTarget.set(targetId, entries);
		}
	};

	const interTokenMs = (targetId: string) =>
		measuredInterTokenMs.get(targetId) ?? defaultInterTokenMs;

	const measureInterTokenMs = (previous: Entry | undefined, run: RunState) => {
		const tokens = run.doneTokens - (previous?.run.doneTokens ?? 0);
		const spanMs = clock.nowMs() - (previous?.atMs ?? 0);
		// Both reports must come from the decode phase on the same engine.
		const isComparable =
			previous?.run.targetId === run.targetId && previous.run.doneTokens > 0;
		if (!isComparable || tokens <= 0 || spanMs < minSpanMs) {
			return;
		}

		const measuredMs = Math.min(
			maxInterTokenMs,
			Math.max(minInterTokenMs, spanMs / tokens),
		);
		const known = measuredInterTokenMs.get(run.targetId);
		measuredInterTokenMs.set(
			run.targetId,
			known === undefined
				? measuredMs
				: known + (measuredMs - known) * smoothing,
		);
	};

	const set = (vm: string, run: RunState) => {
		const previous = vms.get(vm)?.entries.get(run.id);
		measureInterTokenMs(previous, run);
		put(vm, {run, atMs: clock.nowMs(), reservedUntilMs: undefined});
	};

	/** Extrapolates the memory of a run from its last report, at the inter-token latency of the engine. */
	const extrapolateMemory = ({run, atMs}: Entry): HeldMemory => {
		const sinceMs = clock.nowMs() - atMs;
		const produced =
			run.doneTokens > 0 ? sinceMs / interTokenMs(run.targetId) : 0;
		const further = Math.min(run.remainingTokens, produced);
		return {
			tokens: run.promptTokens + run.doneTokens + further,
			remainingTokens: run.remainingTokens - further,
		};
	};

	const computeUsage = (targetId: string): EngineUsage => {
		const held: HeldMemory[] = [];
		const runPriorities: number[] = [];
		const accountTokens = new Map<string, number>();
		let pendingPromptTokens = 0;
		for (const entry of entriesByTarget.get(targetId)?.values() ?? []) {
			const memory = extrapolateMemory(entry);
			held.push(memory);
			const {run} = entry;
			if (run.targetId === targetId) {
				runPriorities.push(run.priority);
				const tokens = accountTokens.get(run.account) ?? 0;
				accountTokens.set(run.account, tokens + memory.tokens);
				pendingPromptTokens += run.doneTokens === 0 ? run.promptTokens : 0;
			}
		}

		// Forecasts sort by remaining tokens again, which costs little if the order is right already.
		held.sort((a, b) => a.remainingTokens - b.remainingTokens);
		const runCount = runPriorities.length;
		return {
			held,
			runCount,
			runPriorities,
			accountTokens,
			pendingPromptTokens,
		};
	};

	const usageOf = (targetId: string) => {
		const nowMs = clock.nowMs();
		const cached = cachedUsages.get(targetId);
		if (cached && nowMs - cached.atMs < usageCacheMs) {
			return cached.usage;
		}

		const usage = computeUsage(targetId);
		cachedUsages.set(targetId, {usage, atMs: nowMs});
		return usage;
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
		usageOf,
		accountTokens(engines) {
			const sums = new Map<string, number>();
			for (const {targetId} of engines) {
				for (const [account, tokens] of usageOf(targetId).accountTokens) {
					sums.set(account, (sums.get(account) ?? 0) + tokens);
				}
			}

			return sums;
		},
		release(vm, runId) {
			const entry = vms.get(vm)?.entries.get(runId);
			if (entry?.reservedUntilMs !== undefined) {
				remove(vm, runId);
			}
		},
		interTokenMs,
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
