import type {ReceivedRequest} from '../../adapters/front/index.js';
import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {
	Clock,
	RandomSource,
	ResponseHead,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {RateLimitTable} from '../../decisions/rate-limits/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import {
	admit,
	createPreviousWaitEstimator,
	type AdmittedRequest,
	type ResponseLimits,
	type CallerResponse,
	type CallTargetSearch,
	type DecisionLog,
	type FreshnessGate,
	type BufferBudget,
	mayStartCallWhileStopping,
	mayStartGenerationWhileStopping,
	localResponseStatus,
	refuseNotRun,
	type RequestContinuationTurn,
	type RetryShare,
	type RouteTable,
	retryAfterHeader,
	type ServingSession,
	startCallSession,
	startGatedSession,
	startStreamSession,
	type StopTimes,
	type StreamSession,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {decodeRequest} from '../../platform/index.js';
import type {UnexpectedErrorLog} from '../unexpected-errors.js';
import {createMeteredResponse} from './metered-response.js';
import type {EngineSelector} from './engine-selector.js';

export type RequestServerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly targetClient: TargetClient;
	readonly directory: TargetDirectory;
	readonly engineSelector: EngineSelector;
	readonly callTargets: CallTargetSearch;
	readonly requestContinuationTurn: RequestContinuationTurn;
	readonly detector: OutlierDetector;
	readonly retryShare: RetryShare;
	readonly rateLimits: RateLimitTable;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
	readonly metrics: Metrics;
	readonly logger: Logger;
	/** Routes of the configuration in force; undefined before the first configuration. */
	readonly routeTable: () => RouteTable | undefined;
	/** Undefined unless this VM is stopping. */
	readonly stopTimes: () => StopTimes | undefined;
	/** True while this VM learns of leaving targets from the store in time. */
	readonly areTargetsCurrent: () => boolean;
	readonly onUnexpected: UnexpectedErrorLog;
	/** Delays requests until the list of targets is confirmed to be current. */
	readonly freshnessGate: FreshnessGate;
	/** True while the configuration is confirmed to be the newest. */
	readonly isConfigurationCurrent: () => boolean;
};

/** Admits requests that were received whole, and starts their sessions. */
export type RequestServer = {
	/** @returns undefined if the request was refused, with its response sent */
	serve(
		received: ReceivedRequest,
		response: CallerResponse,
	): ServingSession | undefined;
	/**
	 * Notifies the streams of an engine that is leaving or unreachable; those that run there, or have
	 * their KV cache copy there, look for another engine for a copy.
	 */
	targetUnusable(targetId: string): void;
	/** Present engines that run a stream of this VM or hold its KV cache copy. */
	enginesInUse(): readonly TargetEntry[];
	/** Sends the final response to every admitted request without one. */
	giveUpAll(reason: string): void;
	/**
	 * Removes finished sessions, refuses unsent requests that would outlast a stop, and checks the open
	 * streams for stalls; called at a fixed interval.
	 */
	tick(): void;
};

const stoppingReason = 'the VM is stopping';
/** `Retry-After` of a refusal, in milliseconds; short, because other VMs can serve the request now. */
const elsewhereRetryAfterMs = 50;

/** Creates the server of the requests that this VM has received whole. */
export function createRequestServer(
	options: RequestServerOptions,
): RequestServer {
	const {
		clock,
		timers,
		random,
		targetClient,
		directory,
		engineSelector,
		detector,
		logger,
	} = options;
	const {metrics} = options;
	const streams = new Set<StreamSession>();
	const openSessions = new Map<AdmittedRequest, ServingSession>();
	const previousWaitEstimator = createPreviousWaitEstimator(clock);
	const log: DecisionLog = (event, record) => {
		logger.info(event, record);
	};

	const recordRateLimit = (
		targetId: string,
		{rateLimit, isFromTarget, notExecuted}: ResponseHead,
		sentMs: number,
	) => {
		if (rateLimit.state === 'malformed') {
			logger.warn('rate limit refused', {
				target: targetId,
				detail: rateLimit.detail,
			});
		} else if (isFromTarget || notExecuted) {
			options.rateLimits.recordResponse(targetId, rateLimit, sentMs);
		}
	};

	const sessionServices = (service: string) => ({
		clock,
		timers,
		targetClient,
		retryShare: options.retryShare,
		responseLimits: options.responseLimits,
		bufferBudget: options.bufferBudget,
		log,
		onSendResult(
			target: {readonly id: string},
			succeeded: boolean,
			latencyMs: number,
		) {
			detector.recordResult(service, target.id, succeeded, latencyMs);
			if (succeeded) {
				directory.markReachable(target.id);
			}
		},
		onResponseHead(
			target: {readonly id: string},
			head: ResponseHead,
			sentMs: number,
		) {
			recordRateLimit(target.id, head, sentMs);
		},
		onUnreachable(target: {readonly id: string}) {
			directory.markUnreachable(target.id);
		},
		onMisdirected(target: {readonly id: string}) {
			directory.markReplaced(target.id);
		},
	});

	const outlastsStop = (admitted: AdmittedRequest) => {
		const stop = options.stopTimes();
		if (!stop) {
			return false;
		}

		const {route, request} = admitted;
		const maxTokens = request.generation?.maxOutputTokens ?? 0;
		return route.kind === 'stream'
			? !mayStartGenerationWhileStopping(
					{
						expectedTokens: engineSelector.expectedOutputTokens(admitted),
						maxTokens: maxTokens > 0 ? maxTokens : Infinity,
					},
					stop,
				)
			: !mayStartCallWhileStopping(route.timeoutMs, stop.leftMs);
	};

	/** Refuses requests that no target has received yet and that would outlast the stop of this VM. */
	const refuseOutlastingRequests = () => {
		for (const [admitted, session] of openSessions) {
			if (!session.mayHaveRun && outlastsStop(admitted)) {
				session.giveUp(stoppingReason, elsewhereRetryAfterMs);
			}
		}
	};

	const refuse = (
		admitted: AdmittedRequest,
		response: CallerResponse,
		reason: string,
		retryAfterMs: number,
	) => {
		log('request refused', {
			request: admitted.request.id,
			status: localResponseStatus.notRun,
			reason,
		});
		refuseNotRun(response, reason, retryAfterMs);
	};

	const startStream = (admitted: AdmittedRequest, response: CallerResponse) => {
		const session = startStreamSession(admitted, response, {
			...sessionServices(admitted.service),
			place: (request, avoid, listener) =>
				engineSelector.placeRun(request, avoid, listener),
			placeCopy: async (run, avoid) => engineSelector.placeCopy(run, avoid),
			requestContinuationTurn: options.requestContinuationTurn,
			isPresent: (targetId) => directory.get(targetId) !== undefined,
			isReachable: (targetId) =>
				directory.get(targetId) !== undefined &&
				!directory.isUnreachable(targetId),
			areDeparturesReported: options.areTargetsCurrent,
			trackRun: (run) => engineSelector.trackRun(run),
			onFinished(request, eventCount) {
				engineSelector.recordOutputLength(request, eventCount);
			},
		});
		streams.add(session);
		return session;
	};

	const startCall = (admitted: AdmittedRequest, response: CallerResponse) =>
		startCallSession(admitted, response, {
			...sessionServices(admitted.service),
			findTarget: options.callTargets.find,
			trackCall: options.callTargets.track,
		});

	/** Runs an action on a session; an unexpected error ends this session only. */
	const runGuarded = (session: ServingSession, act: () => void) => {
		try {
			act();
		} catch (error) {
			options.onUnexpected(error);
			session.giveUp('unexpected error', elsewhereRetryAfterMs);
		}
	};

	const start = (
		admitted: AdmittedRequest,
		response: CallerResponse,
	): ServingSession => {
		const session = startGatedSession({
			gate: options.freshnessGate,
			start: () =>
				admitted.route.kind === 'stream'
					? startStream(admitted, response)
					: startCall(admitted, response),
			refuse(reason, retryAfterMs) {
				refuse(admitted, response, reason, retryAfterMs);
			},
		});
		openSessions.set(admitted, session);
		return session;
	};

	return {
		serve(received, response) {
			const request = decodeRequest(received);
			const admission = admit(request, {
				table: options.routeTable(),
				isConfirmed: options.isConfigurationCurrent(),
				nowMs: clock.nowMs(),
				previousWaitEstimator,
				random,
			});
			if (!('admitted' in admission)) {
				const {status, reason, retryAfterMs} = admission;
				log('request refused', {request: request.id, status, reason});
				metrics.count('requests', {outcome: `own-${status}`});
				response.sendLocalResponse(
					status,
					reason,
					retryAfterMs === undefined ? [] : [retryAfterHeader(retryAfterMs)],
				);
				return undefined;
			}

			const {admitted} = admission;
			const meteredResponse = createMeteredResponse(admitted, response, {
				clock,
				metrics,
			});
			const refusal = outlastsStop(admitted)
				? stoppingReason
				: options.bufferBudget.isFull
					? 'the memory of the VM is used up'
					: undefined;
			if (refusal) {
				refuse(admitted, meteredResponse, refusal, elsewhereRetryAfterMs);
				return undefined;
			}

			return start(admitted, meteredResponse);
		},
		enginesInUse() {
			const engines = new Map<string, TargetEntry>();
			for (const {run} of streams) {
				for (const entry of [run?.target, run?.backup]) {
					if (entry && directory.get(entry.id)) {
						engines.set(entry.id, entry);
					}
				}
			}

			return [...engines.values()];
		},
		targetUnusable(targetId) {
			for (const session of streams) {
				runGuarded(session, () => {
					session.engineUnusable(targetId);
				});
			}
		},
		giveUpAll(reason) {
			for (const session of openSessions.values()) {
				session.giveUp(reason, elsewhereRetryAfterMs);
			}
		},
		tick() {
			for (const [admitted, {isDone}] of openSessions) {
				if (isDone) {
					openSessions.delete(admitted);
				}
			}

			refuseOutlastingRequests();
			for (const session of streams) {
				if (session.isDone) {
					streams.delete(session);
				} else {
					runGuarded(session, () => {
						session.tick();
					});
				}
			}
		},
	};
}
