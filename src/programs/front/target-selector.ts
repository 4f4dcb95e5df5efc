import {
	type AdmittedRequest,
	chooseServiceTarget,
	type PlacementListener,
	type RunTracker,
	type StreamRun,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import type {PlacementClient} from '../../decisions/fleet/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {LengthStatistics} from '../../decisions/routing/index.js';
import type {
	EngineEntry,
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../../decisions/scheduling/index.js';
import type {
	Clock,
	Disposable,
	RandomSource,
	TargetEntry,
} from '../../common/index.js';
import type {RunReporter} from './run-reporter.js';

/** Chooses targets from what this VM knows of them, and tells what it sends. */
export type TargetSelector = {
	/** Sets the memory of the engines of a service, in tokens. */
	setCapacity(service: string, capacityTokens: number): void;
	/** Engines of a service that take requests now. */
	engines(service: string): readonly EngineEntry[];
	chooseTarget(
		service: string,
		avoid: ReadonlySet<string>,
	): TargetEntry | undefined;
	trackCall(target: TargetEntry): Disposable;
	placeStream(
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
		listener: PlacementListener,
	): Disposable;
	placeCopy(
		run: StreamRun,
		avoid: ReadonlySet<string>,
	): Promise<TargetEntry | undefined>;
	trackStream(run: StreamRun): RunTracker;
	recordOutputLength(admitted: AdmittedRequest, eventCount: number): void;
	/** Expected length of an answer, in tokens. */
	expectedOutputTokens(admitted: AdmittedRequest): number;
};

/** What the view is made from. */
export type TargetSelectorOptions = {
	readonly availabilityZone: string;
	readonly clock: Clock;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly statistics: LengthStatistics;
	readonly random: RandomSource;
	readonly placeClient: () => PlacementClient;
	readonly runReporter: () => RunReporter;
};

/** Memory of an engine until one reports its own, in tokens; a smaller guess loads it less. */
const defaultCapacityTokens = 20_000;
/** Tokens in one event of a stream, from the sheets. */
const tokensPerEvent = 4;
/** Weight of the caller's length hint against the lengths seen; its error is the larger one. */
const hintWeight = 0.33;
/** An engine whose suspicion this VM alone has is avoided unless most engines are suspected. */
const maxSuspectPart = 0.5;

/** Creates the view of a VM. */
export function createTargetSelector(
	options: TargetSelectorOptions,
): TargetSelector {
	const {directory, detector, random, availabilityZone, statistics, clock} =
		options;
	const capacities = new Map<string, number>();
	const openCalls = new Map<string, number>();
	let nextDemand = 1;

	/** Expected tokens after those produced. */
	const expectedRemaining = (
		{request, route, account}: AdmittedRequest,
		producedTokens: number,
	) => {
		const demand = request.generation;
		if (!demand) {
			return 0;
		}

		const maxTokens = demand.maxOutputTokens || Infinity;
		const seen = statistics
			.distribution(account ?? '', route.name, demand.model)
			.expectedRemaining(producedTokens, maxTokens);
		const hint = (demand.lengthHintTokens ?? 0) - producedTokens;
		const mixed =
			hint > 0 ? seen ** (1 - hintWeight) * hint ** hintWeight : seen;
		return Math.min(Math.max(1, maxTokens - producedTokens), mixed);
	};

	const expectedOutputTokens = (admitted: AdmittedRequest) =>
		expectedRemaining(admitted, 0);

	const entryOf = (targetId: string | undefined) =>
		targetId === undefined ? undefined : directory.get(targetId)?.entry;

	const suspectsOf = (service: string): string[] => {
		const usable = directory.usable(service);
		const excluded = detector.excluded(service);
		return excluded.size > usable.length * maxSuspectPart ? [] : [...excluded];
	};

	const demandFor = (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
	): Omit<PlacementRequest, 'doneTokens' | 'expectedTokens' | 'purpose'> => {
		const {request, route, service, arrivedMs, deadlineMs} = admitted;
		const nowMs = clock.nowMs();
		return {
			id: `${request.id}.${nextDemand++}`,
			service,
			promptTokens: request.generation?.promptTokens ?? 0,
			preferredZone: availabilityZone,
			excludedTargetIds: [...new Set([...avoid, ...suspectsOf(service)])],
			previousWaitMs: admitted.previousWaitMs,
			waitedMs: nowMs - arrivedMs,
			objectiveMs: route.objectiveMs,
			remainingMs: deadlineMs - nowMs,
			priority: admitted.priority,
		};
	};

	return {
		expectedOutputTokens,
		setCapacity(service, capacityTokens) {
			capacities.set(service, capacityTokens);
		},
		engines(service) {
			const excluded = detector.excluded(service);
			const capacityTokens = capacities.get(service) ?? defaultCapacityTokens;
			return directory.usable(service).map(({entry}) => ({
				targetId: entry.id,
				availabilityZone: entry.availabilityZone,
				slotCount: entry.slotCount,
				capacityTokens,
				isOutlier: excluded.has(entry.id),
			}));
		},
		chooseTarget(service, avoid) {
			const excluded = detector.excluded(service);
			const chosen = chooseServiceTarget(
				directory.usable(service).map(({entry}) => ({
					targetId: entry.id,
					availabilityZone: entry.availabilityZone,
					slotCount: entry.slotCount,
					openCount: openCalls.get(entry.id) ?? 0,
					isSuspect: excluded.has(entry.id),
				})),
				availabilityZone,
				avoid,
				random,
			);
			return entryOf(chosen?.targetId);
		},
		trackCall({id}) {
			const count = (change: number) => {
				const open = (openCalls.get(id) ?? 0) + change;
				if (open > 0) {
					openCalls.set(id, open);
				} else {
					openCalls.delete(id);
				}
			};

			count(1);
			detector.recordSent(id);
			return {
				dispose() {
					count(-1);
				},
			};
		},
		placeStream(admitted, avoid, listener) {
			let asking: Disposable | undefined;
			const ask = (avoided: ReadonlySet<string>) => {
				const demand: PlacementRequest = {
					...demandFor(admitted, avoided),
					purpose: 'run',
					expectedTokens: expectedOutputTokens(admitted),
					doneTokens: 0,
				};
				asking = options.placeClient().request(demand, {
					onDecision(answer, decidedBy) {
						answered(demand.id, answer, decidedBy, avoided);
					},
				});
			};

			const answered = (
				id: string,
				answer: PlacementDecision,
				decidedBy: string,
				avoided: ReadonlySet<string>,
			) => {
				if (answer.outcome === 'refused') {
					listener.onRefused(answer.reason, answer.retryAfterMs);
				}

				if (answer.outcome !== 'placed') {
					return;
				}

				const {placement} = answer;
				const target = entryOf(placement.targetId);
				if (target) {
					const backup = entryOf(placement.copyTargetId);
					listener.onPlaced({...placement, id, target, backup, decidedBy});
				} else {
					// The engine has left, or has not arrived yet by what this VM knows.
					ask(new Set([...avoided, placement.targetId]));
				}
			};

			ask(avoid);
			return {
				dispose() {
					asking?.dispose();
				},
			};
		},
		async placeCopy({admitted, eventCount, placementId}, avoid) {
			const doneTokens = eventCount * tokensPerEvent;
			const demand: PlacementRequest = {
				...demandFor(admitted, avoid),
				id: `${placementId}.c${nextDemand++}`,
				purpose: 'copy',
				expectedTokens: expectedRemaining(admitted, doneTokens),
				doneTokens,
			};
			return new Promise((resolve) => {
				options.placeClient().request(demand, {
					onDecision(answer) {
						resolve(
							answer.outcome === 'placed'
								? entryOf(answer.placement.targetId)
								: undefined,
						);
					},
				});
			});
		},
		trackStream({placementId, admitted, target, backup, eventCount}) {
			const runs = options.runReporter();
			let keeper = backup;
			let events = eventCount;
			const tell = (isUrgent: boolean) => {
				const doneTokens = events * tokensPerEvent;
				const run: RunState = {
					id: placementId,
					targetId: target.id,
					copyTargetId: keeper?.id,
					promptTokens: admitted.request.generation?.promptTokens ?? 0,
					doneTokens,
					remainingTokens: expectedRemaining(admitted, doneTokens),
					priority: admitted.priority,
				};
				runs.set(run, isUrgent);
			};

			detector.recordSent(target.id);
			tell(true);
			return {
				progressed(count) {
					const isFirst = events === 0;
					events = count;
					tell(isFirst);
				},
				copied(target_) {
					keeper = target_;
					tell(true);
				},
				dispose() {
					runs.remove(placementId);
				},
			};
		},
		recordOutputLength({request, route, account}, eventCount) {
			if (request.generation) {
				statistics.record(
					account ?? '',
					route.name,
					request.generation.model,
					eventCount * tokensPerEvent,
				);
			}
		},
	};
}
