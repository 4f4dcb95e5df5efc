import fc from 'fast-check';
import {FakeStreamEngine} from '../../fakes/index.js';
import {type SoakContext, SoakScenario} from '../soak-scenario.js';
import {
	type CallerPlan,
	type SimulatedCaller,
	startCaller,
} from '../streams/simulated-caller.js';
import {
	createSimulatedEntry,
	resumeWindowMs,
	type SimulatedEntry,
} from '../streams/simulated-entry.js';

type StreamFault = {
	readonly kind:
		| 'engine-killed'
		| 'engine-reclaimed'
		| 'link-stalled'
		| 'chunk-duplicated'
		| 'chunk-reordered'
		| 'chunk-lost'
		| 'entry-killed'
		| 'entry-stopped';
	readonly index: number;
};

/** Faults that are injected at the same time. */
type FaultGroup = {
	readonly atMs: number;
	readonly faults: readonly StreamFault[];
};

type StreamPlan = {
	readonly callers: readonly CallerPlan[];
	readonly groups: readonly FaultGroup[];
};

const engineCount = 3;
const entryCount = 3;
const faultsEndMs = 20_000;
const runMs = 300_000;
const reclaimNoticeMs = 7000;
const restartDelayMs = 3000;
const leavingLimitMs = 5000;

// The message with the number of open connections takes this long to arrive, so that a caller that resumes at
// the very end of the resume window may come too late.
const resumeWindowToleranceMs = 100;

const callerPlans: fc.Arbitrary<CallerPlan> = fc.record({
	delivery: fc.constantFrom('whole', 'restartable', 'live'),
	resumable: fc.constant(true),
	tokens: fc.integer({min: 1, max: 250}),
	startMs: fc.integer({min: 0, max: 5000}),
	entry: fc.nat(entryCount - 1),
	readMs: fc.constantFrom(0, 0, 40),
	leaveMs: fc.option(fc.integer({min: 1, max: 6000}), {
		nil: undefined,
		freq: 2,
	}),
	awayMs: fc.integer({min: 1, max: 2 * resumeWindowMs}),
	timeoutMs: fc.oneof(
		{arbitrary: fc.constant(undefined), weight: 7},
		{arbitrary: fc.integer({min: 500, max: 20_000}), weight: 1},
	),
});

const jsonCallerPlans = callerPlans.map((plan) => ({
	...plan,
	delivery: 'whole' as const,
	resumable: false,
}));

const faultGroups: fc.Arbitrary<FaultGroup> = fc.record({
	atMs: fc.integer({min: 0, max: faultsEndMs}),
	faults: fc.array(
		fc.record({
			kind: fc.constantFrom<StreamFault['kind']>(
				'engine-killed',
				'engine-reclaimed',
				'link-stalled',
				'chunk-duplicated',
				'chunk-reordered',
				'chunk-lost',
				'entry-killed',
				'entry-stopped',
			),
			index: fc.nat(engineCount - 1),
		}),
		{minLength: 1, maxLength: 2},
	),
});

/** Engines, connections and entry VMs fail while callers disconnect, resume and read slowly. */
export class StreamScenario extends SoakScenario<StreamPlan> {
	override readonly name = 'streams';
	override readonly plans = fc.record({
		callers: fc.array(
			fc.oneof(
				{arbitrary: callerPlans, weight: 5},
				{arbitrary: jsonCallerPlans, weight: 1},
			),
			{minLength: 3, maxLength: 8},
		),
		groups: fc.array(faultGroups, {minLength: 2, maxLength: 8}),
	});

	override async execute(plan: StreamPlan, context: SoakContext) {
		const {time, invariants, random} = context;
		const engines: FakeStreamEngine[] = [];
		const engineByGeneration = new Map<string, FakeStreamEngine>();
		const lostGenerations = new Set<string>();
		const cancelledGenerations = new Set<string>();
		for (let index = 0; index < engineCount; index++) {
			const engine: FakeStreamEngine = new FakeStreamEngine({
				id: `engine-${index}`,
				time,
				random,
				tokenMs: 20,
				latencyMs: 1,
				retainMs: 60_000,
				onRequested() {
					const sinceMs = engine.leavingSinceMs ?? time.nowMs();
					invariants.check(
						'leaving-target',
						time.nowMs() - sinceMs <= leavingLimitMs,
						() =>
							`a request arrived ${time.nowMs() - sinceMs} ms after its target began to leave`,
					);
				},
				onStart(generationId) {
					engineByGeneration.set(generationId, engine);
				},
				onCancelled(generationId, openConnectionCount) {
					cancelledGenerations.add(generationId);
					invariants.check(
						'whole-answer',
						openConnectionCount === 0,
						() =>
							`${generationId} was cancelled while a connection was reading it`,
					);
				},
			});
			engines.push(engine);
		}

		let incarnationCount = 0;
		const createEntry = (): SimulatedEntry =>
			createSimulatedEntry({
				name: `entry-${incarnationCount++}`,
				time,
				random,
				invariants,
				engines,
			});
		const entries = Array.from({length: entryCount}, createEntry);

		const killEngine = (engine: FakeStreamEngine) => {
			for (const [generationId, servingEngine] of engineByGeneration) {
				if (servingEngine === engine) {
					lostGenerations.add(generationId);
				}
			}

			engine.kill(restartDelayMs);
		};

		const inject = ({kind, index}: StreamFault) => {
			const engine = engines[index];
			const entry = entries[index];
			context.countFault(kind);
			context.trace(`${kind} ${index}`);
			switch (kind) {
				case 'engine-killed': {
					killEngine(engine);
					break;
				}

				case 'engine-reclaimed': {
					engine.leavingSinceMs ??= time.nowMs();
					time.after(reclaimNoticeMs, () => {
						killEngine(engine);
					});
					break;
				}

				case 'link-stalled': {
					engine.stallConnections();
					break;
				}

				case 'chunk-duplicated': {
					engine.planChunkFault('duplicated');
					break;
				}

				case 'chunk-reordered': {
					engine.planChunkFault('reordered');
					break;
				}

				case 'chunk-lost': {
					engine.planChunkFault('lost');
					break;
				}

				case 'entry-killed':
				case 'entry-stopped': {
					if (kind === 'entry-killed') {
						entry.crash();
					} else {
						entry.stop();
					}

					time.after(restartDelayMs, () => {
						entries[index] = createEntry();
					});
					break;
				}
			}
		};

		for (const {atMs, faults} of plan.groups) {
			time.after(atMs, () => {
				for (const fault of faults) {
					inject(fault);
				}
			});
		}

		const callers: SimulatedCaller[] = plan.callers.map((callerPlan, index) => {
			context.countRequests();
			if (callerPlan.leaveMs !== undefined) {
				context.countFault('caller-left');
			}

			return startCaller({
				name: `caller-${index}`,
				plan: callerPlan,
				time,
				invariants,
				entries: () => entries,
				isLossExpected: (generationId, awayMs) =>
					lostGenerations.has(generationId) ||
					(cancelledGenerations.has(generationId) &&
						awayMs >= resumeWindowMs - resumeWindowToleranceMs),
				trace(line) {
					context.trace(line);
				},
			});
		});
		await time.runUntil(runMs);
		for (const caller of callers) {
			invariants.check(
				'whole-answer',
				caller.isDone,
				() =>
					`${caller.name} received neither a complete response nor an error`,
			);
		}
	}
}
