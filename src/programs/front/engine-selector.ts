import {
	type AdmittedRequest,
	type PlacementListener,
	type RunTracker,
	type ServiceStandings,
	type StreamRun,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import type {
	PermitClient,
	PlacementClient,
} from '../../decisions/fleet/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import type {LengthStatistics} from '../../decisions/routing/index.js';
import type {
	EngineEntry,
	Placement,
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../../decisions/scheduling/index.js';
import type {Clock, Disposable, TargetEntry} from '../../common/index.js';
import type {TargetEligibility} from '../../decisions/target-eligibility/index.js';
import type {
	ClosedRefusal,
	TargetStatements,
} from '../../decisions/target-statements/index.js';
import {createOutputForecast} from './output-forecast.js';
import type {RunReporter} from './run-reporter.js';

/**
 * Requests engines for generations from the coordinator, and tracks the requests sent to them. A run is a
 * generation on its engine.
 */
export type EngineSelector = {
	/** Sets the KV cache capacity of the engines of a service, in tokens. */
	setCapacity(service: string, capacityTokens: number): void;
	/**
	 * Engines of a service that accept requests now, those that leave only if there is no other, and none in an
	 * evacuated availability zone.
	 */
	engines(service: string): readonly EngineEntry[];
	/** Refusal of a request if every engine of the service says that it takes none. */
	closedRefusal(service: string): ClosedRefusal | undefined;
	/**
	 * Requests an engine for a generation.
	 * @returns disposing it cancels the request
	 */
	placeRun(
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
		listener: PlacementListener,
	): Disposable;
	/**
	 * Requests an engine for a copy of a run's KV cache.
	 * @returns undefined if no engine has room
	 */
	placeCopy(
		run: StreamRun,
		avoid: ReadonlySet<string>,
	): Promise<TargetEntry | undefined>;
	/** Reports a run to the coordinator until disposed. */
	trackRun(run: StreamRun): RunTracker;
	/** Adds the length of a complete response to the length statistics. */
	recordOutputLength(admitted: AdmittedRequest, eventCount: number): void;
	/** Expected length of the response, in tokens. */
	expectedOutputTokens(admitted: AdmittedRequest): number;
};

export type EngineSelectorOptions = {
	readonly availabilityZone: string;
	readonly clock: Clock;
	readonly directory: TargetDirectory;
	readonly detector: OutlierDetector;
	readonly statements: Pick<TargetStatements, 'isLeaving'>;
	readonly eligibility: Pick<TargetEligibility, 'isEvacuated' | 'standingOf'>;
	readonly standings: ServiceStandings;
	readonly statistics: LengthStatistics;
	readonly placementClient: () => PlacementClient;
	readonly permitClient: () => Pick<PermitClient, 'turnsOf'>;
	readonly runReporter: () => RunReporter;
};

/** KV cache capacity assumed until an engine has reported its own, in tokens; too low a value only loads them less. */
const defaultCapacityTokens = 20_000;
/** Tokens in one event of a stream, according to the data sheets of the engines. */
const tokensPerEvent = 4;
/**
 * Largest fraction of a service's engines that are avoided because the outlier detector excludes them.
 * The detector sees only the requests of this VM; if it excludes more engines, none is avoided.
 */
const maxExcludedFraction = 0.5;

export function createEngineSelector(
	options: EngineSelectorOptions,
): EngineSelector {
	const {directory, detector, availabilityZone, clock} = options;
	const {statements, eligibility, standings} = options;
	const forecast = createOutputForecast(options.statistics);
	const capacities = new Map<string, number>();
	let nextRequestNumber = 1;

	const entryOf = (targetId: string | undefined) =>
		targetId === undefined ? undefined : directory.get(targetId)?.entry;

	const targetsToAvoid = (service: string): readonly string[] => {
		const usable = directory.usable(service);
		const excluded = detector.excluded(service);
		const leftOutIds = standings.leftOutIds(service);
		return excluded.size > usable.length * maxExcludedFraction
			? leftOutIds
			: [...excluded, ...leftOutIds];
	};

	const placementRequestFor = (
		admitted: AdmittedRequest,
		avoid: ReadonlySet<string>,
	): Omit<PlacementRequest, 'doneTokens' | 'expectedTokens' | 'purpose'> => {
		const {request, route, service, arrivedMs, deadlineMs} = admitted;
		const nowMs = clock.nowMs();
		return {
			id: `${request.id}.${nextRequestNumber++}`,
			service,
			promptTokens: request.generation?.promptTokens ?? 0,
			preferredZone: availabilityZone,
			excludedTargetIds: [...new Set([...avoid, ...targetsToAvoid(service)])],
			previousWaitMs: admitted.previousWaitMs,
			waitedMs: nowMs - arrivedMs,
			objectiveMs: route.objectiveMs,
			remainingMs: deadlineMs - nowMs,
			priority: admitted.priority,
			isPrecaution: false,
			account: admitted.account ?? '',
		};
	};

	/** Engine of the placement that is to hold a copy, unless it has been evacuated meanwhile. */
	const backupOf = ({copyTargetId}: Placement) => {
		const backup = entryOf(copyTargetId);
		return backup && !eligibility.isEvacuated(backup) ? backup : undefined;
	};

	/** True if the run goes on where it is, so that its copy must not take memory from other runs. */
	const isPrecaution = ({target, backup}: StreamRun) => {
		const isStaying =
			entryOf(target.id) !== undefined && !statements.isLeaving(target);
		const isAtRisk =
			eligibility.isEvacuated(target) ||
			(backup !== undefined && eligibility.isEvacuated(backup));
		return isStaying && isAtRisk;
	};

	return {
		expectedOutputTokens: (admitted) => forecast.expectedRemaining(admitted, 0),
		closedRefusal: standings.refusal,
		setCapacity(service, capacityTokens) {
			capacities.set(service, capacityTokens);
		},
		engines(service) {
			const excluded = detector.excluded(service);
			const capacityTokens = capacities.get(service) ?? defaultCapacityTokens;
			const usable = directory
				.usable(service)
				.filter(({entry}) => !eligibility.isEvacuated(entry));
			const staying = usable.filter(({entry}) => !statements.isLeaving(entry));
			return (staying.length > 0 ? staying : usable).map(({entry}) => ({
				targetId: entry.id,
				availabilityZone: entry.availabilityZone,
				slotCount: entry.slotCount,
				capacityTokens,
				isOutlier: excluded.has(entry.id),
				turns: options.permitClient().turnsOf(entry.id),
			}));
		},
		placeRun(admitted, avoid, listener) {
			let pendingRequest: Disposable | undefined;
			const requestPlacement = (avoidedTargets: ReadonlySet<string>) => {
				const placementRequest: PlacementRequest = {
					...placementRequestFor(admitted, avoidedTargets),
					purpose: 'run',
					expectedTokens: forecast.expectedRemaining(admitted, 0),
					doneTokens: 0,
				};
				pendingRequest = options.placementClient().request(placementRequest, {
					onDecision(decision, decidedBy) {
						handleDecision(
							placementRequest.id,
							decision,
							decidedBy,
							avoidedTargets,
						);
					},
				});
			};

			const handleDecision = (
				id: string,
				decision: PlacementDecision,
				decidedBy: string,
				avoidedTargets: ReadonlySet<string>,
			) => {
				if (decision.outcome === 'refused') {
					listener.onRefused(decision.reason, decision.retryAfterMs);
				}

				if (decision.outcome !== 'placed') {
					return;
				}

				const {placement} = decision;
				const target = entryOf(placement.targetId);
				if (target && eligibility.standingOf(target).use !== 'none') {
					const backup = backupOf(placement);
					listener.onPlaced({...placement, id, target, backup, decidedBy});
					return;
				}

				const closed = standings.refusal(admitted.service);
				if (closed) {
					listener.onRefused(closed.reason, closed.retryAfterMs);
				} else {
					// As far as this VM knows, the engine is absent or evacuated, or wants no requests.
					requestPlacement(new Set([...avoidedTargets, placement.targetId]));
				}
			};

			requestPlacement(avoid);
			return {
				dispose() {
					pendingRequest?.dispose();
				},
			};
		},
		async placeCopy(run, avoid) {
			const {admitted, eventCount, placementId} = run;
			const doneTokens = eventCount * tokensPerEvent;
			const placementRequest: PlacementRequest = {
				...placementRequestFor(admitted, avoid),
				id: `${placementId}.c${nextRequestNumber++}`,
				purpose: 'copy',
				expectedTokens: forecast.expectedRemaining(admitted, doneTokens),
				doneTokens,
				isPrecaution: isPrecaution(run),
			};
			return new Promise((resolve) => {
				options.placementClient().request(placementRequest, {
					onDecision(decision) {
						const target =
							decision.outcome === 'placed'
								? entryOf(decision.placement.targetId)
								: undefined;
						resolve(
							target && eligibility.isEvacuated(target) ? undefined : target,
						);
					},
				});
			});
		},
		trackRun({placementId, admitted, target, backup, eventCount}) {
			const runs = options.runReporter();
			let copyEngine = backup;
			let currentEventCount = eventCount;
			const report = (isUrgent: boolean) => {
				const doneTokens = currentEventCount * tokensPerEvent;
				const run: RunState = {
					id: placementId,
					targetId: target.id,
					copyTargetId: copyEngine?.id,
					promptTokens: admitted.request.generation?.promptTokens ?? 0,
					doneTokens,
					remainingTokens: forecast.expectedRemaining(admitted, doneTokens),
					priority: admitted.priority,
					account: admitted.account ?? '',
				};
				runs.set(run, isUrgent);
			};

			detector.recordSent(target.id);
			report(true);
			return {
				progressed(newEventCount) {
					const isFirst = currentEventCount === 0;
					currentEventCount = newEventCount;
					report(isFirst);
				},
				copied(newCopyEngine) {
					copyEngine = newCopyEngine;
					report(true);
				},
				dispose() {
					runs.remove(placementId);
				},
			};
		},
		recordOutputLength(admitted, eventCount) {
			forecast.record(admitted, eventCount * tokensPerEvent);
		},
	};
}
