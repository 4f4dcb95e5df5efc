import type {Disposable, TargetEntry} from '../../common/index.js';
import type {
	PlacementDecision,
	PlacementRequest,
	RunState,
} from '../../decisions/scheduling/index.js';
import type {
	AdmittedRequest,
	StreamRun,
} from '../../decisions/serving/index.js';
import {createAvoidedTargets} from './avoided-targets.js';
import type {
	EngineSelector,
	EngineSelectorOptions,
} from './engine-selector-types.js';
import {createOutputForecast} from './output-forecast.js';

/** KV cache capacity assumed until an engine has reported its own, in tokens; too low a value only loads them less. */
const defaultCapacityTokens = 20_000;
/** Tokens in one event of a stream, according to the data sheets of the engines. */
const tokensPerEvent = 4;
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

	const targetsToAvoid = createAvoidedTargets(options);

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
			excludedTargetIds: [
				...new Set([
					...avoid,
					...targetsToAvoid(service, admitted.allowedRegions),
				]),
			],
			previousWaitMs: admitted.previousWaitMs,
			waitedMs: nowMs - arrivedMs,
			objectiveMs: route.objectiveMs,
			remainingMs: deadlineMs - nowMs,
			priority: admitted.priority,
			isPrecaution: false,
			account: admitted.account ?? '',
		};
	};

	const turnsOf = (targetId: string) => {
		const turns = options.permitClient().turnsOf(targetId);
		return turns && {...turns, isCold: eligibility.isOnlyCold(targetId)};
	};

	/** The engine, unless a copy of the request's KV cache must not go there. */
	const copyHolderOf = (
		{allowedRegions}: AdmittedRequest,
		targetId: string | undefined,
	) => {
		const target = entryOf(targetId);
		const mayHold =
			target &&
			!eligibility.isEvacuated(target) &&
			eligibility.isInAllowedRegion(target, allowedRegions);
		return mayHold ? target : undefined;
	};

	const mayRun = ({allowedRegions}: AdmittedRequest, target: TargetEntry) =>
		eligibility.standingOf(target).use !== 'none' &&
		eligibility.isInAllowedRegion(target, allowedRegions);

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
				turns: turnsOf(entry.id),
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
				if (target && mayRun(admitted, target)) {
					const backup = copyHolderOf(admitted, placement.copyTargetId);
					listener.onPlaced({...placement, id, target, backup, decidedBy});
					return;
				}

				const closed = standings.refusal(
					admitted.service,
					admitted.allowedRegions,
				);
				if (closed) {
					listener.onRefused(closed.reason, closed.retryAfterMs);
				} else {
					// By the state of this VM the engine has left, has not arrived yet, wants no requests, is
					// evacuated, or is in a region that is not allowed.
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
						resolve(
							decision.outcome === 'placed'
								? copyHolderOf(admitted, decision.placement.targetId)
								: undefined,
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
