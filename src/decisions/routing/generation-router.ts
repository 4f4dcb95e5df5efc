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

const nothingToWithdraw: Disposable = {
	dispose() {
		// The request was refused already.
	},
};

// In larger fleets VMs share turns, so that no prompt waits longer than about a second for one.
const maxTurns = 8;
const minRetryAfterMs = 1000;
const lostEjectionMs = 2000;

/** Creates a router without engines. */
export function createGenerationRouter(
	options: GenerationRouterOptions,
): GenerationRouter {
	const {clock, ledger, statistics, settingsFor} = options;
	const tuning = options.tuning ?? defaultRoutingTuning;
	const engines = createEngineTable();
	const intake = createRequestFactory({clock, ledger, statistics});
	const open = createOpenGenerations({clock, engines, statistics, ledger});
	const floors = createFloorPolicy({
		clock,
		ledger,
		floorSlack: tuning.floorSlack,
		turnCount: () => options.fleetPosition().vmCount,
		nextMinuteTokens: (account) => open.nextMinuteTokens(account),
	});
	const queue = createAdmissionQueue<Queued>(tuning.maxQueueLength);
	const placed: Array<{
		readonly queued: PendingRequest;
		readonly route: Route;
	}> = [];
	const chooser = createEngineChooser(
		tuning,
		options.availabilityZone,
		options.random,
	);

	const standingOf = (account: string, {contract}: RoutingSettings) => ({
		hasFloorPriority: floors.hasFloorPriority(
			account,
			contract.floorTokensPerMinute,
		),
		shareWeight: contract.shareWeight,
	});

	const turnNow = () => {
		const {rank, vmCount} = options.fleetPosition();
		const turnCount = Math.min(vmCount, maxTurns);
		return {
			wallMs: clock.wallMs(),
			turn: rank % turnCount,
			turnCount: turnCount,
		};
	};

	const tryPlace = (queued: Queued, standing: AccountPriority): boolean => {
		const {request, forecast, settings, distribution, reservation} = queued;
		const nowMs = clock.nowMs();
		const prefixRows = engines.prefixRows(request.prefixHashes);
		const mayPreempt =
			nowMs - queued.arrivedMs > tuning.preemptAfterWaitMs &&
			floors.isBehindFloor(
				request.account,
				settings.contract.floorTokensPerMinute,
			);
		const engine = chooser.choose(
			engines.usable(request.model, nowMs, queued.avoidTargetId),
			{
				forecast,
				promptTokens: request.promptTokens,
				prefixRows,
				hasFloorPriority: standing.hasFloorPriority,
				mayPreempt,
				weights: settings.weights,
				nowMs,
				prefillTurn: tuning.prefillTurnMs > 0 ? turnNow() : undefined,
			},
			open.average,
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
		open.add(generationId, {
			request,
			targetId: engine.id,
			distribution,
			reservation,
			queueChargedTokens: queued.expectedTokens,
			shareWeight: standing.shareWeight,
			forecast,
			forecastAtTokens: 0,
			chargedTokens: 0,
			forecastAtMs: undefined,
			nextMinuteTokens: 0,
		});
		const priority = enginePriority({
			mayPreempt: mayPreempt,
			hasFloorPriority: standing.hasFloorPriority,
			delivery: request.delivery,
		});
		placed.push({queued, route: {targetId: engine.id, generationId, priority}});
		return true;
	};

	/** Tells callers of their places once the queue is consistent, since they may call back. */
	const announce = () => {
		for (;;) {
			const next = placed.shift();
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

		queue.serve(
			nowMs,
			(account) => standingOf(account, settingsFor(account, '')),
			tryPlace,
		);
		announce();
	};

	const ended = (
		generationId: string,
		outcome: GenerationOutcome,
		producedTokens: number,
	) => {
		const nowMs = clock.nowMs();
		const closed = open.ended(generationId, outcome, producedTokens);
		if (closed) {
			queue.charge(
				closed.request.account,
				producedTokens - closed.queueChargedTokens,
				closed.shareWeight,
			);
			if (outcome === 'lost') {
				engines.eject(closed.targetId, nowMs + lostEjectionMs);
			}

			if (queue.length > 0) {
				tick();
			}
		}
	};

	const admit = (queued: Queued) => {
		const {account, settings} = queued;
		const nowMs = clock.nowMs();
		const standing = standingOf(account, settings);
		// Nobody overtakes requests that already wait, except an account below its floor.
		if (
			(queue.length === 0 || standing.hasFloorPriority) &&
			tryPlace(queued, standing)
		) {
			queue.charge(account, queued.expectedTokens, standing.shareWeight);
			announce();
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
			refuse(queued, 'the queue is full', waitMs ?? queueTimeoutMs);
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
			return open.size;
		},
		submit(request, callbacks, avoidTargetId) {
			const {account, requestClass, model} = request;
			if (!engines.offersModel(model)) {
				callbacks.onRefused(
					new ProblemError('unknown-model', `model "${model}" does not exist`, {
						field: 'model',
					}),
				);
				return nothingToWithdraw;
			}

			let queued: Queued;
			try {
				queued = intake.createQueued(
					request,
					settingsFor(account, requestClass),
					callbacks,
					avoidTargetId,
				);
			} catch (error) {
				if (error instanceof ProblemError) {
					callbacks.onRefused(error);
					return nothingToWithdraw;
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
			open.progressed(generationId, producedTokens);
		},
		ended,
		adopt(request, targetId, generationId, position) {
			if (open.has(generationId) || !engines.get(targetId)) {
				return;
			}

			const settings = settingsFor(request.account, request.requestClass);
			open.add(
				generationId,
				intake.createAdopted(request, settings, targetId, position),
			);
		},
		tick,
	};
}
