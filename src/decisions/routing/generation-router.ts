import {
	type Clock,
	type Disposable,
	ProblemError,
	type RandomSource,
} from '../../common/index.js';
import type {ContractLedger, TokenReservation} from '../contracts/index.js';
import {createAdmissionQueue, type QueueStanding} from './admission-queue.js';
import {createEngineChooser} from './engine-choice.js';
import {enginePriority} from './engine-priority.js';
import {createEngineTable, type EngineTable} from './engine-table.js';
import {type LengthStatistics} from './length-statistics.js';
import {createOpenGenerations, type OpenOutcome} from './open-generations.js';
import {defaultRoutingTuning, type RoutingTuning} from './routing-tuning.js';
import {createStreamForecast, forecastStream} from './stream-forecast.js';
import type {
	QueuedRequest,
	Route,
	RoutedRequest,
	RoutingSettings,
} from './types.js';

/** What a router works with. */
export type GenerationRouterOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Name of this VM, as its peers know it. */
	readonly vmName: string;
	/** Availability zone of this VM. */
	readonly availabilityZone: string;
	readonly ledger: ContractLedger;
	readonly statistics: LengthStatistics;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => RoutingSettings;
	readonly createGenerationId: () => string;
	readonly tuning?: RoutingTuning;
};

/** Receives the answer to a request for a place. */
export type RouteCallbacks = {
	onPlaced(route: Route): void;
	/** Called with `not-run`, `rate-limited` or `unknown-model`. */
	onRefused(problem: ProblemError): void;
};

/** Admits generations and chooses engines, on one VM. */
export type GenerationRouter = {
	readonly engines: EngineTable;
	readonly queueLength: number;
	readonly openCount: number;
	submit(
		request: RoutedRequest,
		callbacks: RouteCallbacks,
		avoidTargetId?: string,
	): Disposable;
	progressed(generationId: string, producedTokens: number): void;
	ended(
		generationId: string,
		outcome: OpenOutcome,
		producedTokens: number,
	): void;
	/** Counts a generation that another VM placed. */
	adopt(
		request: RoutedRequest,
		targetId: string,
		generationId: string,
		position: number,
	): void;
	/** Serves the queue; called regularly and whenever news of the engines arrive. */
	tick(): void;
};

type Queued = QueuedRequest;

const nothingToWithdraw: Disposable = {
	dispose() {
		// The request was refused already.
	},
};
const minuteMs = 60_000;
const minRetryAfterMs = 1000;
const lostEjectionMs = 2000;

/** Creates a router without engines. */
export function createGenerationRouter(
	options: GenerationRouterOptions,
): GenerationRouter {
	const {clock, ledger, statistics, settingsFor} = options;
	const tuning = options.tuning ?? defaultRoutingTuning;
	const engines = createEngineTable();
	const open = createOpenGenerations({clock, engines, statistics, ledger});
	const queue = createAdmissionQueue<Queued>(tuning.maxQueueLength);
	const placed: Array<{readonly queued: QueuedRequest; readonly route: Route}> =
		[];
	const chooser = createEngineChooser(
		tuning,
		options.availabilityZone,
		options.random,
	);

	/** True if this VM's part of the account's floor is not covered by what it has running. */
	const isEntitled = (account: string, floorTokensPerMinute: number) => {
		if (floorTokensPerMinute <= 0) {
			return false;
		}

		const wallMs = clock.wallMs();
		const vmCount = engines.peerCount + 1;
		const covered = open.nextMinuteTokens(account);
		const minuteLeft = 1 - (wallMs % minuteMs) / minuteMs;
		const {floorTokensLeft} = ledger.standing(account, wallMs);
		return (
			(floorTokensLeft * tuning.floorSlack) / vmCount > covered * minuteLeft ||
			(floorTokensPerMinute * tuning.floorSlack) / vmCount > covered
		);
	};

	const standingOf = (account: string, {contract}: RoutingSettings) => ({
		entitled: isEntitled(account, contract.floorTokensPerMinute),
		shareWeight: contract.shareWeight,
	});

	const turnNow = () => ({
		wallMs: clock.wallMs(),
		rank: engines.rankOf(options.vmName),
		vmCount: engines.peerCount + 1,
	});

	const tryPlace = (
		queued: Queued,
		standing: QueueStanding,
		turns: boolean,
	): boolean => {
		const {request, forecast, settings, distribution, reservation} = queued;
		const nowMs = clock.nowMs();
		const engine = chooser.choose(
			engines.usable(request.model, nowMs, queued.avoidTargetId),
			{
				forecast,
				promptTokens: request.promptTokens,
				prefixHashes: request.prefixHashes,
				entitled: standing.entitled,
				weights: settings.weights,
				nowMs,
				turn: turns ? turnNow() : undefined,
			},
			open.average,
		);
		if (!engine) {
			return false;
		}

		const cached = engine.affinity.expectedCachedTokens(
			request.prefixHashes,
			nowMs,
		);
		engine.prefillBusyUntilMs =
			Math.max(nowMs, engine.prefillBusyUntilMs) +
			tuning.prefillPerTokenMs * Math.max(0, request.promptTokens - cached);
		engine.affinity.sent(request.prefixHashes, nowMs);
		const generationId = options.createGenerationId();
		open.open(generationId, {
			request,
			targetId: engine.id,
			distribution,
			reservation,
			queuedTokens: queued.expectedTokens,
			shareWeight: standing.shareWeight,
			forecast,
			producedTokens: 0,
			chargedTokens: 0,
			progressedMs: undefined,
			nextMinuteTokens: 0,
		});
		const {entitled} = standing;
		const priority = enginePriority({entitled, delivery: request.delivery});
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
			(queued, standing) => tryPlace(queued, standing, tuning.turnMs > 0),
		);
		announce();
	};

	const ended = (
		generationId: string,
		outcome: OpenOutcome,
		producedTokens: number,
	) => {
		const nowMs = clock.nowMs();
		const closed = open.ended(generationId, outcome, producedTokens);
		if (closed) {
			queue.charge(
				closed.request.account,
				producedTokens - closed.queuedTokens,
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
			(queue.length === 0 || standing.entitled) &&
			tryPlace(queued, standing, false)
		) {
			queue.charge(account, queued.expectedTokens, standing.shareWeight);
			announce();
			return;
		}

		const waitMs = queue.expectedWaitMs(account, standing, nowMs);
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
			const {account, requestClass, model, maxTokens} = request;
			if (!engines.knows(model)) {
				callbacks.onRefused(
					new ProblemError('unknown-model', `model "${model}" does not exist`, {
						field: 'model',
					}),
				);
				return nothingToWithdraw;
			}

			const settings = settingsFor(account, requestClass);
			const distribution = statistics.distribution(
				account,
				requestClass,
				model,
			);
			const expectedTokens = distribution.expectedRemaining(0, maxTokens);
			const forecast = createStreamForecast();
			forecastStream(forecast, distribution, {
				promptTokens: request.promptTokens,
				producedTokens: 0,
				maxTokens,
			});
			let reservation: TokenReservation;
			try {
				reservation = ledger.reserve(
					account,
					Math.round(expectedTokens),
					clock.wallMs(),
				);
			} catch (error) {
				if (error instanceof ProblemError) {
					callbacks.onRefused(error);
					return nothingToWithdraw;
				}

				throw error;
			}

			const arrivedMs = clock.nowMs();
			const queued: Queued = {
				account,
				requestClass,
				request,
				settings,
				distribution,
				forecast,
				reservation,
				expectedTokens,
				arrivedMs,
				deadlineMs: arrivedMs + settings.classSettings.queueTimeoutMs,
				avoidTargetId,
				withdrawn: false,
				onPlaced(route) {
					callbacks.onPlaced(route);
				},
				onRefused(problem) {
					callbacks.onRefused(problem);
				},
			};
			admit(queued);
			return {
				dispose() {
					queued.withdrawn = true;
					if (queue.remove(queued)) {
						ledger.release(reservation);
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

			const {account, requestClass, model, maxTokens, promptTokens} = request;
			const {contract} = settingsFor(account, requestClass);
			const distribution = statistics.distribution(
				account,
				requestClass,
				model,
			);
			const forecast = createStreamForecast();
			forecastStream(forecast, distribution, {
				promptTokens,
				producedTokens: position,
				maxTokens,
			});
			open.open(generationId, {
				request,
				targetId,
				distribution,
				reservation: {account, estimatedTokens: 0},
				queuedTokens: position,
				shareWeight: contract.shareWeight,
				forecast,
				producedTokens: position,
				chargedTokens: position,
				progressedMs: undefined,
				nextMinuteTokens: 0,
			});
		},
		tick,
	};
}
