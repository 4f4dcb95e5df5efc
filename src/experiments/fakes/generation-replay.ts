import {SeededRandomSource} from '../../common/index.js';
import {
	createGenerationScheduler,
	createRunRegistry,
	type PlacementDecision,
	type PlacementRequest,
	type RunState,
} from '../../decisions/scheduling/index.js';
import {fakeEngineEntry, fakePlacementRequest} from './fake-scheduler.js';
import type {ReplayOptions, ReplayResult} from './replay-types.js';
import {advanceReplayEngine, type ReplayRun} from './replay-engine.js';
import {VirtualTime} from './virtual-time.js';

type Attempt = {
	readonly result: ReplayResult;
	readonly request: PlacementRequest;
	readonly startedMs: number;
	run: ReplayRun | undefined;
};

const vm = 'vm-1';
const capacityTokens = 26_830;
const stepMs = 5;
const reportIntervalMs = 1000;
const leavingFraction = 0.17;
const noticeMs = 1800;
const returnMs = 5800;
/** Time after the last arrival until which runs may end, in milliseconds. */
const trailMs = 45_000;

/**
 * Drives the scheduler by recorded arrivals, in virtual time, with a simple model of engines and callers. A
 * refused caller comes back once, if `Retry-After` is at most a third of the time that it has left.
 * @returns results in the order of the arrivals
 */
export async function replayGenerations({
	arrivals,
	engineCount,
	leaveIntervalMs = Infinity,
	takeoverMs = Infinity,
	seed = 11,
}: ReplayOptions): Promise<readonly ReplayResult[]> {
	const time = new VirtualTime();
	const random = new SeededRandomSource(seed);
	const engines = new Set(
		Array.from({length: engineCount}, (_, index) => `e${index}`),
	);
	const departed = new Set<string>();
	const attempts = new Map<string, Attempt>();
	let nextId = 0;

	const expectedLeft = ({request}: Attempt, doneTokens: number) =>
		Math.max(0.1 * request.expectedTokens, request.expectedTokens - doneTokens);

	/** Runs are reported to the coordinator and its standby, so that a new coordinator knows them. */
	const registry = createRunRegistry(time);
	const createCoordinator = () =>
		createGenerationScheduler({
			clock: time,
			random,
			registry,
			engines: () =>
				[...engines].map((id) => fakeEngineEntry(id, {capacityTokens})),
			takeTurn: () => undefined,
			onDecision(_vm, {id}, decision) {
				handleDecision(id, decision);
			},
		});
	let scheduler = createCoordinator();

	const report = (id: string, attempt: Attempt, run: ReplayRun) => {
		const state: RunState = {
			...attempt.request,
			targetId: run.targetId,
			copyTargetId: run.copyTargetId,
			doneTokens: run.doneTokens,
			remainingTokens: expectedLeft(attempt, run.doneTokens),
		};
		registry.set(vm, {...state, id});
	};

	const submit = (id: string, {request, startedMs}: Attempt) => {
		const waitedMs = time.nowMs() - startedMs;
		const remainingMs = request.remainingMs - waitedMs;
		handleDecision(
			id,
			scheduler.place(vm, {...request, waitedMs, remainingMs}),
		);
	};

	const start = (result: ReplayResult) => {
		const {kind, account, atMs} = result;
		const id = `q${nextId++}`;
		const previousWaitMs = time.nowMs() - atMs;
		const request = fakePlacementRequest(id, {
			promptTokens: kind.promptTokens,
			expectedTokens: kind.outputTokens * 2 ** (2 * random.nextUnit() - 1),
			objectiveMs: kind.objectiveMs,
			priority: kind.priority,
			previousWaitMs,
			remainingMs: kind.limitMs - previousWaitMs,
			account,
		});
		const startedMs = time.nowMs();
		const attempt: Attempt = {result, request, startedMs, run: undefined};
		attempts.set(id, attempt);
		submit(id, attempt);
	};

	const handleRefusal = (
		{result, startedMs}: Attempt,
		reason: string,
		retryAfterMs: number,
	) => {
		const {objectiveMs, limitMs} = result.kind;
		const nowMs = time.nowMs();
		const leftMs = result.atMs + limitMs - nowMs;
		const heldMs = nowMs - startedMs;
		const givesUpMs = Math.min(
			leftMs + heldMs,
			Math.max(2000, 4 * objectiveMs),
		);
		result.heldInVainMs += heldMs;
		result.refusedAtFractions.push(heldMs / givesUpMs);
		result.refusalReasons.push(reason);
		if (result.refusalReasons.length === 1 && retryAfterMs <= leftMs / 3) {
			time.after(retryAfterMs, () => {
				start(result);
			});
		}
	};

	const handleDecision = (id: string, decision: PlacementDecision) => {
		const attempt = attempts.get(id);
		if (!attempt || decision.outcome === 'waiting') {
			return;
		}

		if (decision.outcome === 'refused') {
			attempts.delete(id);
			handleRefusal(attempt, decision.reason, decision.retryAfterMs);
			return;
		}

		const {request} = attempt;
		attempt.run = {
			...decision.placement,
			promptTokens: request.promptTokens,
			priority: request.priority,
			// Forecasts of the length are off by a fifth.
			totalTokens: request.expectedTokens * (0.8 + 0.4 * random.nextUnit()),
			unfilledTokens: request.promptTokens,
			doneTokens: 0,
		};
		report(id, attempt, attempt.run);
	};

	const end = (id: string) => {
		attempts.delete(id);
		scheduler.cancel(vm, id);
		registry.remove(vm, id);
	};

	const requestCopy = (id: string, attempt: Attempt, run: ReplayRun) => {
		const copyId = `${id}.c${nextId++}`;
		const decision = scheduler.place(vm, {
			...attempt.request,
			id: copyId,
			purpose: 'copy',
			doneTokens: run.doneTokens,
			expectedTokens: expectedLeft(attempt, run.doneTokens),
			excludedTargetIds: [run.targetId],
		});
		scheduler.cancel(vm, copyId);
		if (decision.outcome === 'placed') {
			run.copyTargetId = decision.placement.targetId;
			report(id, attempt, run);
		}
	};

	const proceed = (id: string, attempt: Attempt, run: ReplayRun) => {
		const {result} = attempt;
		const {objectiveMs, limitMs} = result.kind;
		const sinceMs = time.nowMs() - result.atMs;
		if (departed.has(run.targetId)) {
			if (!run.copyTargetId) {
				end(id);
				return;
			}

			run.targetId = run.copyTargetId;
			run.copyTargetId = undefined;
			report(id, attempt, run);
		}

		if (run.doneTokens > 0 && !engines.has(run.targetId) && !run.copyTargetId) {
			requestCopy(id, attempt, run);
		}

		result.isOnTime ||= run.doneTokens > 0 && sinceMs <= objectiveMs;
		result.isServed = run.doneTokens >= run.totalTokens;
		if (result.isServed || sinceMs > limitMs) {
			end(id);
		}
	};

	const leave = () => {
		const ids = [...engines];
		for (let count = engineCount * leavingFraction; count >= 0.5; count--) {
			const [id] = ids.splice(Math.floor(random.nextUnit() * ids.length), 1);
			engines.delete(id);
			time.after(noticeMs, () => departed.add(id));
			time.after(returnMs, () => {
				departed.delete(id);
				engines.add(id);
			});
		}
	};

	const advance = () => {
		const runs = [...attempts.values()].flatMap(({run}) => run ?? []);
		for (const id of new Set(runs.map(({targetId}) => targetId))) {
			const copies = runs.filter(({copyTargetId}) => copyTargetId === id);
			advanceReplayEngine(
				runs.filter(({targetId}) => targetId === id),
				copies.reduce((sum, run) => sum + run.promptTokens + run.doneTokens, 0),
				capacityTokens,
				stepMs,
			);
		}
	};

	const results: ReplayResult[] = arrivals.map((arrival) => ({
		...arrival,
		isServed: false,
		isOnTime: false,
		heldInVainMs: 0,
		refusedAtFractions: [],
		refusalReasons: [],
	}));
	for (const result of results) {
		time.after(result.atMs, () => {
			start(result);
		});
	}

	const lastMs = Math.max(...arrivals.map(({atMs}) => atMs));
	for (let atMs = stepMs; atMs < lastMs + trailMs; atMs += stepMs) {
		await time.runUntil(atMs);
		advance();
		for (const [id, attempt] of attempts) {
			if (attempt.run) {
				proceed(id, attempt, attempt.run);
			}
		}

		if (atMs % reportIntervalMs === 0) {
			for (const [id, attempt] of attempts) {
				if (attempt.run) {
					report(id, attempt, attempt.run);
				}
			}
		}

		if (atMs < lastMs && atMs % leaveIntervalMs === 0) {
			leave();
		}

		if (atMs === takeoverMs) {
			scheduler = createCoordinator();
			for (const [id, attempt] of attempts) {
				if (!attempt.run) {
					submit(id, attempt);
				}
			}
		}

		if (atMs % 25 === 0) {
			scheduler.tick();
		}
	}

	return results;
}
