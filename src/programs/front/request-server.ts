import type {ReceivedRequest} from '../../adapters/front/index.js';
import type {Logger, Metrics} from '../../adapters/system/index.js';
import type {
	Clock,
	RandomSource,
	TargetEntry,
	TargetLink,
	Timers,
} from '../../common/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import {
	admit,
	createCallerPatience,
	type AdmittedRequest,
	type AnswerBounds,
	type CallerReply,
	type DecisionLog,
	type FreshGate,
	type HeldBytes,
	mayCallWhileStopping,
	mayStartWhileStopping,
	ownStatus,
	refuseNotRun,
	type RetryShare,
	type RouteTable,
	retryAfterHeader,
	type ServingSession,
	startCallSession,
	startStreamSession,
	type StreamSession,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import {decodeRequest} from '../../platform/index.js';
import type {FleetView} from './fleet-view.js';

/** Times of a planned stop, in milliseconds. */
export type StopTimes = {
	/** Since the signal. */
	readonly sinceMs: number;
	/** Until this VM ends. */
	readonly leftMs: number;
};

/** What requests are served with. */
export type RequestServerOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly random: RandomSource;
	readonly link: TargetLink;
	readonly directory: TargetDirectory;
	readonly view: FleetView;
	readonly detector: OutlierDetector;
	readonly retryShare: RetryShare;
	readonly answerBounds: AnswerBounds;
	readonly held: HeldBytes;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly table: () => RouteTable | undefined;
	/** Undefined unless this VM is stopping. */
	readonly stop: () => StopTimes | undefined;
	/** True while the store tells of targets that leave. */
	readonly hearsOfLeaving: () => boolean;
	/** Holds requests until what is known of the targets is confirmed. */
	readonly gate: FreshGate;
	/** True while the configuration is confirmed to be the newest. */
	readonly isConfirmed: () => boolean;
};

/** Serves requests that were read whole. */
export type RequestServer = {
	serve(
		received: ReceivedRequest,
		reply: CallerReply,
	): ServingSession | undefined;
	engineUnusable(targetId: string): void;
	/** Engines on which runs, or the copies of their memory, depend. */
	engines(): readonly TargetEntry[];
	tick(): void;
};

/** Other VMs can serve the request at once, in milliseconds. */
const elsewhereRetryAfterMs = 50;

/** Creates a server without requests. */
export function createRequestServer(
	options: RequestServerOptions,
): RequestServer {
	const {clock, timers, random, link, directory, view, detector, logger} =
		options;
	const streams = new Set<StreamSession>();
	const patience = createCallerPatience(clock);
	const log: DecisionLog = (event, record) => {
		logger.info(event, record);
	};

	const shared = (service: string) => ({
		clock,
		timers,
		link,
		retryShare: options.retryShare,
		answerBounds: options.answerBounds,
		held: options.held,
		log,
		ended(
			target: {readonly id: string},
			succeeded: boolean,
			latencyMs: number,
		) {
			detector.ended(service, target.id, succeeded, latencyMs);
			if (succeeded) {
				directory.reached(target.id);
			}
		},
		unreachable(target: {readonly id: string}) {
			directory.unreachable(target.id);
		},
		misdirected(target: {readonly id: string}) {
			directory.misdirected(target.id);
		},
	});

	/** Passes a reply on and counts how it ends. */
	const measured = (
		admitted: AdmittedRequest,
		reply: CallerReply,
	): CallerReply => {
		const labels = {
			account: admitted.account ?? 'anonymous',
			route: admitted.route.name,
		};
		const durationMs = () => Math.round(clock.nowMs() - admitted.arrivedMs);
		const count = (outcome: string) => {
			options.metrics.count('requests', {...labels, outcome});
		};

		return {
			get hasHead() {
				return reply.hasHead;
			},
			begin(head) {
				options.metrics
					.histogram('first_event', labels)
					.recordValue(durationMs());
				reply.begin(head);
			},
			data(bytes) {
				reply.data(bytes);
			},
			end() {
				count('answered');
				options.metrics.histogram('duration', labels).recordValue(durationMs());
				reply.end();
			},
			whole(head, body) {
				count(`status-${head.status}`);
				options.metrics.histogram('duration', labels).recordValue(durationMs());
				reply.whole(head, body);
			},
			own(status, message, headers) {
				count(`own-${status}`);
				reply.own(status, message, headers);
			},
			abort() {
				count('aborted');
				reply.abort();
			},
		};
	};

	const outlastsStop = (admitted: AdmittedRequest) => {
		const stop = options.stop();
		if (!stop) {
			return false;
		}

		return admitted.route.kind === 'stream'
			? !mayStartWhileStopping(
					view.expectedOutputTokens(admitted),
					stop.sinceMs,
					stop.leftMs,
				)
			: !mayCallWhileStopping(admitted.route.timeoutMs, stop.leftMs);
	};

	const startStream = (admitted: AdmittedRequest, reply: CallerReply) => {
		const session = startStreamSession(admitted, reply, {
			...shared(admitted.service),
			place: (request, avoid, listener) =>
				view.placeStream(request, avoid, listener),
			placeCopy: async (run, avoid) => view.placeCopy(run, avoid),
			isPresent: (targetId) => directory.get(targetId) !== undefined,
			isUsable: (targetId) =>
				directory.get(targetId) !== undefined && !directory.isDown(targetId),
			hearsOfLeaving: options.hearsOfLeaving,
			opened: (run) => view.openedStream(run),
			finished(request, eventCount) {
				view.finishedStream(request, eventCount);
			},
		});
		streams.add(session);
		return session;
	};

	const startCall = (admitted: AdmittedRequest, reply: CallerReply) =>
		startCallSession(admitted, reply, {
			...shared(admitted.service),
			choose: (service, avoid) => view.chooseTarget(service, avoid),
			opened: (target) => view.openedCall(target),
		});

	/** Starts a session, at once or when what is known may be acted on. */
	const startFresh = (
		admitted: AdmittedRequest,
		reply: CallerReply,
	): ServingSession => {
		let session: ServingSession | undefined;
		const waiting = options.gate.pass(() => {
			session =
				admitted.route.kind === 'stream'
					? startStream(admitted, reply)
					: startCall(admitted, reply);
		});
		return {
			callerLeft() {
				waiting.dispose();
				session?.callerLeft();
			},
		};
	};

	return {
		serve(received, reply) {
			const request = decodeRequest(received);
			const admission = admit(request, {
				table: options.table(),
				isConfirmed: options.isConfirmed(),
				nowMs: clock.nowMs(),
				patience,
				random,
			});
			if (!('admitted' in admission)) {
				const {status, reason, retryAfterMs} = admission;
				log('request refused', {request: request.id, status, reason});
				options.metrics.count('requests', {outcome: `own-${status}`});
				reply.own(
					status,
					reason,
					retryAfterMs === undefined ? [] : [retryAfterHeader(retryAfterMs)],
				);
				return undefined;
			}

			const {admitted} = admission;
			const counted = measured(admitted, reply);
			const refusal = outlastsStop(admitted)
				? 'the VM is stopping'
				: options.held.isFull
					? 'the memory of the VM is used up'
					: undefined;
			if (refusal) {
				log('request refused', {
					request: request.id,
					status: ownStatus.notRun,
					reason: refusal,
				});
				refuseNotRun(counted, refusal, elsewhereRetryAfterMs);
				return undefined;
			}

			return startFresh(admitted, counted);
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
				session.engineUnusable(targetId);
			}
		},
		tick() {
			for (const session of streams) {
				if (session.isDone) {
					streams.delete(session);
				} else {
					session.tick();
				}
			}
		},
	};
}
