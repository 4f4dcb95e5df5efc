import type {Logger, Metrics} from '../../adapters/system/index.js';
import {
	type CallerRequest,
	type Clock,
	promptPartIds,
	type ResponseDefect,
	type ResponseHead,
	type TargetClient,
	type TargetEntry,
	type Timers,
} from '../../common/index.js';
import {
	type CrashEvidence,
	type CrashObserver,
	lastMilestone,
} from '../../decisions/quarantine/index.js';
import type {
	AvoidedTargets,
	CallObserver,
} from '../../decisions/fleet-health/index.js';
import type {OutlierDetector} from '../../decisions/retries/index.js';
import {
	type AdmittedRequest,
	type BufferBudget,
	type CallerResponse,
	type CallSessionOptions,
	type CallTargetSearch,
	type DecisionLog,
	type LostRun,
	type RequestContinuationTurn,
	type ResponseLimits,
	type RetryShare,
	type ServiceStandings,
	type ServingSession,
	startCallSession,
	startStreamSession,
	type StreamSession,
	type TargetDirectory,
} from '../../decisions/serving/index.js';
import type {
	ColdTargets,
	TargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import type {TargetStatements} from '../../decisions/target-statements/index.js';
import type {ZoneCalls} from './zone-calls.js';
import type {EngineSelector} from './engine-selector-types.js';

export type SessionStarterOptions = {
	readonly clock: Clock;
	readonly timers: Timers;
	readonly targetClient: TargetClient;
	readonly directory: TargetDirectory;
	readonly engineSelector: EngineSelector;
	readonly callTargets: CallTargetSearch;
	readonly zoneCalls: ZoneCalls;
	readonly requestContinuationTurn: RequestContinuationTurn;
	readonly detector: OutlierDetector;
	readonly callObserver: CallObserver;
	readonly avoidedTargets: Pick<AvoidedTargets, 'isAvoided'>;
	readonly retryShare: RetryShare;
	readonly statements: Pick<TargetStatements, 'isLeaving' | 'recordResponse'>;
	readonly eligibility: TargetEligibility;
	readonly coldTargets: Pick<ColdTargets, 'recordResponse'>;
	readonly standings: Pick<ServiceStandings, 'description'>;
	readonly responseLimits: ResponseLimits;
	readonly bufferBudget: BufferBudget;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly crashEvidence: Pick<
		CrashEvidence,
		'recordProgress' | 'recordWholeResponse'
	>;
	readonly crashObserver: Pick<CrashObserver, 'runBroken'>;
	/** Why a request may not be sent to an engine again; undefined if it may. */
	readonly heldReason: (request: CallerRequest) => string | undefined;
	/** True while this VM learns of leaving targets from the store in time. */
	readonly areTargetsCurrent: () => boolean;
};

/** Starts the sessions of admitted requests, with what they need of the state of this VM. */
export type SessionStarter = {
	startStream(
		admitted: AdmittedRequest,
		response: CallerResponse,
	): StreamSession;
	startCall(
		admitted: AdmittedRequest,
		response: CallerResponse,
	): ServingSession;
};

export function createSessionStarter(
	options: SessionStarterOptions,
): SessionStarter {
	const {clock, directory, engineSelector, detector, logger} = options;
	const {statements, eligibility, avoidedTargets, zoneCalls} = options;
	const log: DecisionLog = (event, record) => {
		logger.info(event, record);
	};

	const recordColdness = (target: TargetEntry, head: ResponseHead) => {
		if (head.isFromTarget || head.notExecuted) {
			const {cold} = head;
			const coldMs = cold.state === 'stated' ? cold.coldMs : 0;
			options.coldTargets.recordResponse(target, coldMs);
		}
	};

	/** Describes the targets that are not used like others, those that the fleet avoids among them. */
	const restrictedTargets = (service: string) => {
		const avoided = directory
			.usable(service)
			.filter(({entry}) => avoidedTargets.isAvoided(entry.id))
			.map(({entry}) => `${entry.id}: failing`);
		const described = options.standings.description(service);
		const parts = described === undefined ? avoided : [described, ...avoided];
		return parts.length > 0 ? parts.join(', ') : undefined;
	};

	const sessionServices = ({service, allowedRegions}: AdmittedRequest) => ({
		clock,
		timers: options.timers,
		targetClient: options.targetClient,
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
		onResponseHead(target: TargetEntry, head: ResponseHead, sentMs: number) {
			statements.recordResponse(target, head, sentMs);
			recordColdness(target, head);
		},
		mayUse: (target: TargetEntry) =>
			eligibility.standingOf(target).use !== 'none' &&
			eligibility.isInAllowedRegion(target, allowedRegions),
		restrictedTargets,
		onDefectiveResponse(_target: TargetEntry, defect: ResponseDefect) {
			options.metrics.count('defective_responses', {service, defect});
		},
		onUnreachable(target: TargetEntry) {
			directory.markUnreachable(target.id);
		},
		onMisdirected(target: {readonly id: string}) {
			directory.markReplaced(target.id);
		},
	});

	const isPresent = (targetId: string) => {
		const entry = directory.get(targetId)?.entry;
		return entry !== undefined && !statements.isLeaving(entry);
	};

	const isReachable = (targetId: string) => {
		const entry = directory.get(targetId)?.entry;
		return (
			entry !== undefined &&
			!directory.isUnreachable(targetId) &&
			eligibility.standingOf(entry).use === 'normal'
		);
	};

	const countLostRun = ({eventCount, status, copy}: LostRun) => {
		const startedStage =
			status === undefined ? 'before-status' : 'before-event';
		options.metrics.count('runs_lost', {
			stage: eventCount > 0 ? 'streaming' : startedStage,
		});
		options.metrics.count('lost_run_copies', {copy});
	};

	/** Engines that leave close connections too; the end of one that is known to leave is no crash. */
	const observeCrash = (run: LostRun) => {
		if (run.connectionEnded && isPresent(run.target.id)) {
			options.crashObserver.runBroken(run);
		}
	};

	const startStream = (admitted: AdmittedRequest, response: CallerResponse) =>
		startStreamSession(admitted, response, {
			...sessionServices(admitted),
			closedRefusal: (service) =>
				engineSelector.closedRefusal(service, admitted.allowedRegions),
			place: (request, avoid, listener) =>
				engineSelector.placeRun(request, avoid, listener),
			placeCopy: async (run, avoid) => engineSelector.placeCopy(run, avoid),
			requestContinuationTurn: options.requestContinuationTurn,
			heldReason: options.heldReason,
			isPresent,
			isReachable,
			isEvacuated: eligibility.isEvacuated,
			areDeparturesReported: options.areTargetsCurrent,
			trackRun: (run) => engineSelector.trackRun(run),
			onProgress(request, before, now) {
				const milestone = lastMilestone(now);
				if (milestone !== undefined && milestone > before) {
					options.crashEvidence.recordProgress(
						promptPartIds(request),
						milestone,
					);
				}
			},
			onSilentRun(finding) {
				options.metrics.count('silent_runs', {finding});
			},
			onRunLost(run) {
				countLostRun(run);
				observeCrash(run);
			},
			onFinished(finished, eventCount) {
				options.crashEvidence.recordWholeResponse(
					promptPartIds(finished.request),
				);
				engineSelector.recordOutputLength(finished, eventCount);
			},
		});

	const trackCall: CallSessionOptions['trackCall'] = (target, isIdempotent) => {
		const zone = zoneCalls.isInOwnZone(target) ? 'own' : 'other';
		options.metrics.count('calls_sent', {service: target.service, zone});
		const isTrial = avoidedTargets.isAvoided(target.id);
		const observed = options.callObserver.observe(
			target,
			isIdempotent,
			isTrial,
		);
		const open = options.callTargets.track(target);
		return {
			recordOutcome: observed.recordOutcome,
			dispose() {
				open.dispose();
				observed.dispose();
			},
		};
	};

	const startCall = (admitted: AdmittedRequest, response: CallerResponse) => {
		const {service} = admitted;
		const services = sessionServices(admitted);
		zoneCalls.meter.recordCall(service);
		return startCallSession(admitted, response, {
			...services,
			onResponseHead(target, head, sentMs) {
				services.onResponseHead(target, head, sentMs);
				if (head.isFromTarget && !head.notExecuted) {
					zoneCalls.meter.recordAnswer(service, clock.nowMs() - sentMs);
				}
			},
			findTarget: options.callTargets.find,
			trackCall,
			leavingReason: zoneCalls.leavingReason,
		});
	};

	return {startStream, startCall};
}
