import type {ReceivedRequest} from '../../adapters/front/index.js';
import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {
	Clock,
	RandomSource,
	TargetEntry,
	TargetClient,
	Timers,
} from '../../common/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import {
	admit,
	createPreviousWaitEstimator,
	type AdmittedRequest,
	type ResponseLimits,
	type CallerResponse,
	type DecisionLog,
	type FreshnessGate,
	type BufferBudget,
	mayStartCallWhileStopping,
	mayStartGenerationWhileStopping,
	localResponseStatus,
	refuseNotRun,
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
import {createMeteredReply} from './metered-reply.js';
import type {TargetSelector} from './target-selector.js';

/** What requests are served with. */
export type RequestServerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly link: TargetClient;
	readonly directory: TargetDirectory;
	readonly targetSelector: TargetSelector;
	readonly detector: OutlierDetector;
	readonly retryShare: RetryShare;
	readonly answerBounds: ResponseLimits;
	readonly held: BufferBudget;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly routeTable: () => RouteTable | undefined;
	/** Undefined unless this VM is stopping. */
	readonly stopTimes: () => StopTimes | undefined;
	/** True while the store tells of targets that leave. */
	readonly areTargetsCurrent: () => boolean;
	readonly onUnexpected: UnexpectedErrorLog;
	/** Holds requests until what is known of the targets is confirmed. */
	readonly gate: FreshnessGate;
	/** True while the configuration is confirmed to be the newest. */
	readonly isConfigurationCurrent: () => boolean;
};

/** Serves requests that were read whole. */
export type RequestServer = {
	serve(
		received: ReceivedRequest,
		reply: CallerResponse,
	): ServingSession | undefined;
	engineUnusable(targetId: string): void;
	/** Engines on which runs, or the copies of their memory, depend. */
	engines(): readonly TargetEntry[];
	/** Gives all requests that are still open their final answer. */
	giveUpAll(reason: string): void;
	tick(): void;
};

const stoppingReason = 'the VM is stopping';
/** Other VMs can serve the request at once, in milliseconds. */
const elsewhereRetryAfterMs = 50;

/** Creates a server without requests. */
export function createRequestServer(
	options: RequestServerOptions,
): RequestServer {
	const {
		clock,
		timers,
		random,
		link,
		directory,
		targetSelector,
		detector,
		logger,
	} = options;
	const {metrics} = options;
	const streams = new Set<StreamSession>();
	const open = new Map<AdmittedRequest, ServingSession>();
	const previousWaitEstimator = createPreviousWaitEstimator(clock);
	const log: DecisionLog = (event, record) => {
		logger.info(event, record);
	};

	const shared = (service: string) => ({
		clock,
		timers,
		targetClient: link,
		retryShare: options.retryShare,
		responseLimits: options.answerBounds,
		bufferBudget: options.held,
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
						expectedTokens: targetSelector.expectedOutputTokens(admitted),
						maxTokens: maxTokens > 0 ? maxTokens : Infinity,
					},
					stop,
				)
			: !mayStartCallWhileStopping(route.timeoutMs, stop.leftMs);
	};

	/** While this VM stops, what no target has yet is refused if it would be cut off. */
	const refuseOutlasting = () => {
		for (const [admitted, session] of open) {
			if (!session.mayHaveRun && outlastsStop(admitted)) {
				session.giveUp(stoppingReason, elsewhereRetryAfterMs);
			}
		}
	};

	const refuse = (
		admitted: AdmittedRequest,
		reply: CallerResponse,
		reason: string,
		retryAfterMs: number,
	) => {
		log('request refused', {
			request: admitted.request.id,
			status: localResponseStatus.notRun,
			reason,
		});
		refuseNotRun(reply, reason, retryAfterMs);
	};

	const startStream = (admitted: AdmittedRequest, reply: CallerResponse) => {
		const session = startStreamSession(admitted, reply, {
			...shared(admitted.service),
			place: (request, avoid, listener) =>
				targetSelector.placeStream(request, avoid, listener),
			placeCopy: async (run, avoid) => targetSelector.placeCopy(run, avoid),
			isPresent: (targetId) => directory.get(targetId) !== undefined,
			isReachable: (targetId) =>
				directory.get(targetId) !== undefined &&
				!directory.isUnreachable(targetId),
			areDeparturesReported: options.areTargetsCurrent,
			trackRun: (run) => targetSelector.trackStream(run),
			onFinished(request, eventCount) {
				targetSelector.recordOutputLength(request, eventCount);
			},
		});
		streams.add(session);
		return session;
	};

	const startCall = (admitted: AdmittedRequest, reply: CallerResponse) =>
		startCallSession(admitted, reply, {
			...shared(admitted.service),
			chooseTarget: (service, avoid) =>
				targetSelector.chooseTarget(service, avoid),
			trackCall: (target) => targetSelector.trackCall(target),
		});

	/** Ends a session in which an unexpected error comes; the others go on. */
	const within = (session: ServingSession, act: () => void) => {
		try {
			act();
		} catch (error) {
			options.onUnexpected(error);
			session.giveUp('unexpected error', elsewhereRetryAfterMs);
		}
	};

	const start = (
		admitted: AdmittedRequest,
		reply: CallerResponse,
	): ServingSession => {
		const session = startGatedSession({
			gate: options.gate,
			start: () =>
				admitted.route.kind === 'stream'
					? startStream(admitted, reply)
					: startCall(admitted, reply),
			refuse(reason, retryAfterMs) {
				refuse(admitted, reply, reason, retryAfterMs);
			},
		});
		open.set(admitted, session);
		return session;
	};

	return {
		serve(received, reply) {
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
				reply.sendLocalResponse(
					status,
					reason,
					retryAfterMs === undefined ? [] : [retryAfterHeader(retryAfterMs)],
				);
				return undefined;
			}

			const {admitted} = admission;
			const counted = createMeteredReply(admitted, reply, {clock, metrics});
			const refusal = outlastsStop(admitted)
				? stoppingReason
				: options.held.isFull
					? 'the memory of the VM is used up'
					: undefined;
			if (refusal) {
				refuse(admitted, counted, refusal, elsewhereRetryAfterMs);
				return undefined;
			}

			return start(admitted, counted);
		},
		engines() {
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
		engineUnusable(targetId) {
			for (const session of streams) {
				within(session, () => {
					session.engineUnusable(targetId);
				});
			}
		},
		giveUpAll(reason) {
			for (const session of open.values()) {
				session.giveUp(reason, elsewhereRetryAfterMs);
			}
		},
		tick() {
			for (const [admitted, {isDone}] of open) {
				if (isDone) {
					open.delete(admitted);
				}
			}

			refuseOutlasting();
			for (const session of streams) {
				if (session.isDone) {
					streams.delete(session);
				} else {
					within(session, () => {
						session.tick();
					});
				}
			}
		},
	};
}
