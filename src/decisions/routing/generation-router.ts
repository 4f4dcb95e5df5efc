import {type Disposable, ProblemError} from '../../common/index.js';
import {createAdmissionQueue, type AccountPriority} from './admission-queue.js';
import {createEngineChooser} from './engine-choice.js';
import {enginePriority} from './engine-priority.js';
import {createEngineTable} from './engine-table.js';
import {createFloorPolicy} from './floor-policy.js';
import {
	createOpenGenerations,
	type GenerationOutcome,
} from './open-generations.js';
import type {
	GenerationRouter,
	GenerationRouterOptions,
} from './router-types.js';
import {defaultRoutingTuning} from './routing-tuning.js';
import {createRequestFactory} from './request-factory.js';
import type {PendingRequest, Route, RoutingSettings} from './types.js';

type Queued = PendingRequest;

const emptyRegistration: Disposable = {
	dispose() {
		// The request has already been refused.
	},
};

// Largest number of turns. Larger fleets share turns between VMs, so that a prompt waits about a second
// for its turn (at most 1.6 s with the default turn length).
const maxPrefillTurns = 8;
const minRetryAfterMs = 1000;
// Time for which an engine that lost a generation receives no new work.
const lossEjectionMs = 2000;

/** Creates a router; `engines.update` adds the engines. */
export function createGenerationRouter(
	options: GenerationRouterOptions,
): GenerationRouter {
	const {clock, ledger, statistics, settingsFor} = options;
	const tuning = options.tuning ?? defaultRoutingTuning;
	const engines = createEngineTable();
	const requestFactory = createRequestFactory({clock, ledger, statistics});
	const openGenerations = createOpenGenerations({
		clock,
		engines,
		statistics,
		ledger,
	});
	const floorPolicy = createFloorPolicy({
		clock,
		ledger,
		floorSlack: tuning.floorSlack,
		turnCount: () => options.fleetPosition().vmCount,
		nextMinuteTokens: (account) => openGenerations.nextMinuteTokens(account),
	});
	const queue = createAdmissionQueue<Queued>(tuning.maxQueueLength);
	const unreportedPlacements: Array<{
		readonly queued: PendingRequest;
		readonly route: Route;
	}> = [];
	const chooser = createEngineChooser(
		tuning,
		options.availabilityZone,
		options.random,
	);

	const priorityOf = (account: string, {contract}: RoutingSettings) => ({
		hasFloorPriority: floorPolicy.hasFloorPriority(
			account,
			contract.floorTokensPerMinute,
		),
		shareWeight: contract.shareWeight,
	});

	const currentPrefillTurn = () => {
		const {rank, vmCount} = options.fleetPosition();
		const turnCount = Math.min(vmCount, maxPrefillTurns);
		return {
			wallMs: clock.wallMs(),
			turn: rank % turnCount,
			turnCount,
		};
	};

	const tryPlace = (
		queued: Queued,
		accountPriority: AccountPriority,
	): boolean => {
		const {request, forecast, settings, distribution, reservation} = queued;
		const nowMs = clock.nowMs();
		const prefixRows = engines.prefixRows(request.prefixHashes);
		const mayPreempt =
			nowMs - queued.arrivedMs > tuning.preemptAfterWaitMs &&
			floorPolicy.isBehindFloor(
				request.account,
				settings.contract.floorTokensPerMinute,
			);
		const engine = chooser.choose(
			engines.usable(request.model, nowMs, queued.avoidTargetId),
			{
				forecast,
				promptTokens: request.promptTokens,
				prefixRows,
				hasFloorPriority: accountPriority.hasFloorPriority,
				mayPreempt,
				weights: settings.weights,
				nowMs,
				prefillTurn:
					tuning.prefillTurnMs > 0 ? currentPrefillTurn() : undefined,
			},
			openGenerations.average,
		);
		if (!engine) {
			return false;
		}

		const cached = engine.affinity.expectedCachedTokens(prefixRows, nowMs);
		engine.prefillBusyUntilMs =
			Math.max(nowMs, engine.prefillBusyUntilMs) +
			tuning.prefillPerTokenMs * Math.max(0, request.promptTokens - cached);
		engine.affinity.recordSentPrompt(request.prefixHashes, nowMs);
		const generationId = options.createGenerationId();
		openGenerations.add(generationId, {
			request,
			targetId: engine.id,
			distribution,
			reservation,
			queueChargedTokens: queued.expectedTokens,
			shareWeight: accountPriority.shareWeight,
			forecast,
			forecastAtTokens: 0,
			chargedTokens: 0,
			forecastAtMs: undefined,
			nextMinuteTokens: 0,
		});
		const priority = enginePriority({
			mayPreempt,
			hasFloorPriority: accountPriority.hasFloorPriority,
			delivery: request.delivery,
		});
		unreportedPlacements.push({
			queued,
			route: {targetId: engine.id, generationId, priority},
		});
		return true;
	};

	/**
	 * Reports placements through the callbacks. These may call the router again, so it is called only while
	 * the queue is consistent.
	 */
	const reportPlacements = () => {
		for (;;) {
			const next = unreportedPlacements.shift();
			if (!next) {
				return;
			}

			if (next.queued.withdrawn) {
				ended(next.route.generationId, 'cancelled', 0);
			} else {
				next.queued.onPlaced(next.route);
			}
		}
	};

	const refuse = (queued: Queued, message: string, waitMs: number) => {
		ledger.release(queued.reservation);
		queued.onRefused(
			new ProblemError('not-run', message, {
				retryAfterMs: Math.max(minRetryAfterMs, Math.round(waitMs)),
			}),
		);
	};

	const tick = () => {
		const nowMs = clock.nowMs();
		for (const queued of queue.takeExpired(nowMs)) {
			refuse(
				queued,
				'no engine had room before the queue timeout',
				queued.settings.classSettings.queueTimeoutMs / 2,
			);
		}

		// Only the contract is read from these settings, so they are read without a request class.
		queue.serve(
			nowMs,
			(account) => priorityOf(account, settingsFor(account, '')),
			tryPlace,
		);
		reportPlacements();
	};

	const ended = (
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	) => {
		const nowMs = clock.nowMs();
		const endedGeneration = openGenerations.ended(
			generationId,
			outcome,
			producedTokens,
		);
		if (endedGeneration) {
			queue.charge(
				endedGeneration.request.account,
				producedTokens - endedGeneration.queueChargedTokens,
				endedGeneration.shareWeight,
			);
			if (outcome === 'lost') {
				engines.eject(endedGeneration.targetId, nowMs + lossEjectionMs);
			}

			if (queue.length > 0) {
				tick();
			}
		}
	};

	const admit = (queued: Queued) => {
		const {account, settings} = queued;
		const nowMs = clock.nowMs();
		const accountPriority = priorityOf(account, settings);
		// Requests do not overtake those that already wait, unless their account has floor priority.
		if (
			(queue.length === 0 || accountPriority.hasFloorPriority) &&
			tryPlace(queued, accountPriority)
		) {
			queue.charge(account, queued.expectedTokens, accountPriority.shareWeight);
			reportPlacements();
			return;
		}

		const waitMs = queue.expectedWaitMs(account, queued.requestClass, nowMs);
		const {queueTimeoutMs} = settings.classSettings;
		if (waitMs !== undefined && waitMs > queueTimeoutMs) {
			refuse(
				queued,
				'the expected wait exceeds the queue timeout',
				waitMs - queueTimeoutMs,
			);
		} else if (!queue.add(queued)) {
			refuse(
				queued,
				'the admission queue of this VM is full',
				waitMs ?? queueTimeoutMs,
			);
		} else if (queue.length > 1) {
			tick();
		}
	};

	return {
		engines,
		get queueLength() {
			return queue.length;
		},
		get openCount() {
			return openGenerations.size;
		},
		submit(request, callbacks, avoidTargetId) {
			const {account, requestClass, model} = request;
			if (!engines.offersModel(model)) {
				callbacks.onRefused(
					new ProblemError('unknown-model', `model "${model}" does not exist`, {
						field: 'model',
					}),
				);
				return emptyRegistration;
			}

			let queued: Queued;
			try {
				queued = requestFactory.createQueued(
					request,
					settingsFor(account, requestClass),
					callbacks,
					avoidTargetId,
				);
			} catch (error) {
				if (error instanceof ProblemError) {
					callbacks.onRefused(error);
					return emptyRegistration;
				}

				throw error;
			}

			admit(queued);
			return {
				dispose() {
					queued.withdrawn = true;
					if (queue.remove(queued)) {
						ledger.release(queued.reservation);
					}
				},
			};
		},
		progressed(generationId, producedTokens) {
			openGenerations.progressed(generationId, producedTokens);
		},
		ended,
		adopt(request, targetId, generationId, receivedCount) {
			if (openGenerations.has(generationId) || !engines.get(targetId)) {
				return;
			}

			const settings = settingsFor(request.account, request.requestClass);
			openGenerations.add(
				generationId,
				requestFactory.createAdopted(
					request,
					settings,
					targetId,
					receivedCount,
				),
			);
		},
		tick,
	};
}
