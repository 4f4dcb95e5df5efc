import type {ReceivedRequest} from '../../adapters/front/index.js';
import type {RandomSource, TargetEntry} from '../../common/index.js';
import {
	admit,
	createPreviousWaitEstimator,
	type AdmittedRequest,
	type CallerResponse,
	type DecisionLog,
	type FreshnessGate,
	mayStartWhileStopping,
	localResponseStatus,
	refuseNotRun,
	type RouteTable,
	retryAfterHeader,
	type ServingSession,
	startGatedSession,
	type StopTimes,
	type StreamSession,
} from '../../decisions/serving/index.js';
import type {PromptQuarantine} from '../../decisions/quarantine/index.js';
import {decodeRequest} from '../../platform/index.js';
import type {UnexpectedErrorLog} from '../unexpected-errors.js';
import {countRefusal, createMeteredResponse} from './metered-response.js';
import {createQuarantineGate} from './quarantine-gate.js';
import {
	createSessionStarter,
	type SessionStarterOptions,
} from './session-starter.js';

export type RequestServerOptions = Omit<SessionStarterOptions, 'heldReason'> & {
	readonly random: RandomSource;
	/** Routes of the configuration in force; undefined before the first configuration. */
	readonly routeTable: () => RouteTable | undefined;
	/** Undefined unless this VM is stopping. */
	readonly stopTimes: () => StopTimes | undefined;
	readonly onUnexpected: UnexpectedErrorLog;
	readonly quarantine: PromptQuarantine;
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
	/** Ends the requests without a response whose prompts have parts under which engines end. */
	endQuarantined(): void;
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

type OpenSession = {
	readonly session: ServingSession;
	readonly response: CallerResponse;
};

/** Creates the server of the requests that this VM has received whole. */
export function createRequestServer(
	options: RequestServerOptions,
): RequestServer {
	const {clock, random, directory, engineSelector, logger, metrics} = options;
	const streams = new Set<StreamSession>();
	const openSessions = new Map<AdmittedRequest, OpenSession>();
	const previousWaitEstimator = createPreviousWaitEstimator(clock);
	const log: DecisionLog = (event, record) => {
		logger.info(event, record);
	};

	const quarantineGate = createQuarantineGate(options.quarantine, metrics, log);
	const sessionStarter = createSessionStarter({
		...options,
		heldReason: quarantineGate.heldReason,
	});

	const outlastsStop = (admitted: AdmittedRequest) => {
		const stop = options.stopTimes();
		if (!stop) {
			return false;
		}

		const {route, request, deadlineMs} = admitted;
		const maxTokens = request.generation?.maxOutputTokens ?? 0;
		const generation =
			route.kind === 'stream'
				? {
						expectedTokens: engineSelector.expectedOutputTokens(admitted),
						maxTokens: maxTokens > 0 ? maxTokens : Infinity,
					}
				: undefined;
		const timeLeftMs = deadlineMs - clock.nowMs();
		return !mayStartWhileStopping({timeLeftMs, generation}, stop);
	};

	/** Refuses requests that no target has received yet and that would outlast the stop of this VM. */
	const refuseOutlastingRequests = () => {
		for (const [admitted, {session}] of openSessions) {
			if (!session.mayHaveRun && outlastsStop(admitted)) {
				session.giveUp(stoppingReason, elsewhereRetryAfterMs);
			}
		}
	};

	/** For the log: how long the VM and the request have left while the VM stops. */
	const stopFields = ({deadlineMs}: AdmittedRequest) => {
		const stop = options.stopTimes();
		return (
			stop && {
				stopLeftMs: Math.round(stop.leftMs),
				requestLeftMs: Math.round(deadlineMs - clock.nowMs()),
			}
		);
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
			...stopFields(admitted),
		});
		refuseNotRun(response, reason, retryAfterMs);
	};

	/** Runs an action on a session; an unexpected error ends this session only. */
	const runGuarded = (session: ServingSession, act: () => void) => {
		try {
			act();
		} catch (error) {
			options.onUnexpected(error);
			session.giveUp('unexpected error', elsewhereRetryAfterMs);
		}
	};

	const startSession = (
		admitted: AdmittedRequest,
		response: CallerResponse,
	): ServingSession => {
		if (admitted.route.kind !== 'stream') {
			return sessionStarter.startCall(admitted, response);
		}

		const session = sessionStarter.startStream(admitted, response);
		streams.add(session);
		return session;
	};

	const start = (
		admitted: AdmittedRequest,
		response: CallerResponse,
	): ServingSession => {
		const session = startGatedSession({
			gate: options.freshnessGate,
			start: () => startSession(admitted, response),
			refuse(reason, retryAfterMs) {
				refuse(admitted, response, reason, retryAfterMs);
			},
		});
		openSessions.set(admitted, {session, response});
		return session;
	};

	const endQuarantined = () => {
		for (const [{request}, {session, response}] of openSessions) {
			const isUnanswered = !session.isDone && !response.isHeadSent;
			const held = isUnanswered ? quarantineGate.recheck(request) : undefined;
			if (held) {
				runGuarded(session, () => {
					session.giveUp(held.reason, held.retryAfterMs);
				});
			}
		}
	};

	return {
		endQuarantined,
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
				countRefusal(metrics, status, reason);
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

			const held = quarantineGate.check(request);
			if (held) {
				refuse(admitted, meteredResponse, held.reason, held.retryAfterMs);
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
			for (const {session} of openSessions.values()) {
				session.giveUp(reason, elsewhereRetryAfterMs);
			}
		},
		tick() {
			for (const [admitted, {session}] of openSessions) {
				if (session.isDone) {
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
