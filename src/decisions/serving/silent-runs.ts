import type {RunStatus, SendFailure} from '../../common/index.js';
import type {ContinuationRetries} from './continuation-retries.js';
import type {RunStop} from './run-stop.js';
import type {AdmittedRequest} from './session-types.js';
import type {StallDetector} from './stall-detector.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';
import type {StreamSessionOptions} from './stream-session-types.js';

/** What was found out about a run whose connection is silent. */
export type SilentRunFinding =
	/** The run has ended, or its engine has. */
	| 'ended'
	/** The engine does not respond over a new connection either. */
	| 'unreachable'
	/** The engine has produced events that have not arrived. */
	| 'unheard'
	/** The engine has the run, and has produced no further events. */
	| 'paused'
	/** The engine does not say whether it has the run, which may wait there. */
	| 'unknown';

export type SilentRunsOptions = {
	readonly admitted: AdmittedRequest;
	readonly session: Pick<
		StreamSessionOptions,
		'clock' | 'isPresent' | 'log' | 'onSilentRun' | 'targetClient' | 'timers'
	>;
	readonly stallDetector: StallDetector;
	readonly retries: ContinuationRetries;
	readonly copies: StreamCopies;
	readonly runStop: RunStop;
	/** Id of the last event that the caller has; 0 if it has none. */
	readonly passedEventId: () => number;
	/** True while the attempt is the open one of its stream. */
	readonly isCurrent: (attempt: StreamAttempt) => boolean;
	/**
	 * Called when the run may continue elsewhere.
	 * @param isGranted - true if the retry budget has been charged
	 */
	readonly onLost: (
		attempt: StreamAttempt,
		failure: SendFailure,
		isGranted: boolean,
	) => void;
	/** Called with the failure of a connection that was held back while its run was to be stopped. */
	readonly onFailed: (attempt: StreamAttempt, failure: SendFailure) => void;
	/** Called when the run of a lost connection may still be in progress, and can't be stopped. */
	readonly giveUp: (reason: string) => void;
};

/**
 * Decides on runs whose connection is silent. Silence does not end a run: its engine may have paused it, or the
 * connection may have failed without the engine noticing it. So the engine is asked over a new connection, and
 * the run continues elsewhere only if it has ended, was stopped, or its engine can't be reached. A paused run
 * stays, and so does one at an engine that can't be reached, while no copy of it can exist and the engine is
 * listed: to give it up costs the caller the response.
 */
export type SilentRuns = {
	/** Called at regular intervals. */
	check(attempt: StreamAttempt): void;
	/** Called when the connection of the run has timed out; its engine may not have noticed it. */
	connectionTimedOut(attempt: StreamAttempt, failure: SendFailure): void;
};

/** Time for a response of an engine, in milliseconds. It is asked as much earlier than a run counts as stalled. */
const statusTimeoutMs = 400;
/** Time after which an engine is asked again about a run that it keeps, in milliseconds; it doubles each time. */
const askAgainMs = 1000;
/** Time in which an event that the engine has reported arrives, in milliseconds. */
const deliveryMs = 300;
/** Delay by which a timer shows that this VM did not run for a while, in milliseconds. */
const pausedTimerMs = 200;
/** Questions about a run whose connection is lost. */
const lostConnection = {intervalMs: 500, maxQuestions: 4} as const;

const silentFailure: SendFailure = {
	unsent: false,
	connectionEnded: false,
	reason: 'the engine is silent',
};

/** Creates the checks of one stream's runs. */
export function createSilentRuns({
	admitted,
	session,
	stallDetector,
	retries,
	copies,
	runStop,
	passedEventId,
	isCurrent,
	onLost,
	onFailed,
	giveUp,
}: SilentRunsOptions): SilentRuns {
	const {clock, log, timers, targetClient} = session;
	const {request} = admitted;
	let isPending = false;
	/** Attempt whose connection has timed out. */
	let disconnected: StreamAttempt | undefined;
	/** Progress of the run when its engine was asked last, the number of questions since, and their last time. */
	let askedAt = {progressCount: -1, questions: 0, atMs: 0};

	/** @returns false if this VM did not run meanwhile, so that what it waited for may have come */
	const sleep = async (durationMs: number) => {
		const endMs = clock.nowMs() + durationMs;
		await timers.sleep(durationMs);
		return clock.nowMs() - endMs < pausedTimerMs;
	};

	const ask = async ({placement: {target}}: StreamAttempt) => {
		const startedMs = clock.nowMs();
		const status = await targetClient.runStatus(
			target,
			request.id,
			statusTimeoutMs,
		);
		const elapsedMs = clock.nowMs() - startedMs;
		const wasPaused = elapsedMs > statusTimeoutMs + pausedTimerMs;
		return status.state === 'unreachable' && wasPaused
			? ({state: 'unstated', reason: 'this VM was paused'} as const)
			: status;
	};

	const findingOf = (status: RunStatus): SilentRunFinding => {
		switch (status.state) {
			case 'running': {
				return status.eventCount > passedEventId() ? 'unheard' : 'paused';
			}

			case 'unstated': {
				return 'unknown';
			}

			case 'unreachable': {
				return 'unreachable';
			}

			case 'absent':
			case 'engine-ended': {
				return 'ended';
			}
		}
	};

	const find = async (attempt: StreamAttempt) => {
		const status = await ask(attempt);
		const finding = findingOf(status);
		session.onSilentRun(finding);
		log('silent run checked', {
			request: request.id,
			target: attempt.placement.target.id,
			finding,
			state: status.state,
			reason: 'reason' in status ? status.reason : undefined,
			runEvents: status.state === 'running' ? status.eventCount : undefined,
			passedEvents: passedEventId(),
			silentMs: Math.round(stallDetector.silentMs),
		});
		return finding;
	};

	/**
	 * Stops the run and continues it elsewhere.
	 * @param isGranted - true if the retry budget has been charged
	 * @returns false if the run may go on at its engine, and its connection is open
	 */
	const stop = async (
		attempt: StreamAttempt,
		failure: SendFailure,
		isGranted: boolean,
	) => {
		const outcome = await runStop.stop(attempt);
		switch (outcome.state) {
			case 'stopped': {
				onLost(attempt, failure, isGranted);
				return true;
			}

			case 'not-needed': {
				return true;
			}

			case 'not-stopped': {
				if (outcome.failure) {
					onFailed(attempt, outcome.failure);
				}

				return outcome.failure !== undefined;
			}
		}
	};

	const requestRetry = async () =>
		new Promise<boolean>((resolve) => {
			retries.request(resolve);
		});

	/** Decides on a run whose connection is open. */
	const decide = async (attempt: StreamAttempt) => {
		const {progressCount} = stallDetector;
		const isSilentStill = () =>
			stallDetector.progressCount === progressCount &&
			disconnected !== attempt &&
			isCurrent(attempt);
		const finding = await find(attempt);
		const isLost =
			(finding === 'ended' && askedAt.questions > 1) ||
			(finding === 'unreachable' &&
				!session.isPresent(attempt.placement.target.id)) ||
			((finding === 'ended' || finding === 'unreachable') &&
				copies.mayHaveCopy(attempt));
		if (!isLost && finding !== 'unheard') {
			return;
		}

		const arrivalMs = finding === 'unheard' ? deliveryMs : 0;
		const hasSlept = await sleep(
			Math.max(arrivalMs, stallDetector.untilStallMs + 1),
		);
		if (!hasSlept || !isSilentStill() || !(await requestRetry())) {
			return;
		}

		if (!isSilentStill()) {
			return;
		}

		if (isLost) {
			onLost(attempt, silentFailure, true);
		} else {
			await stop(attempt, silentFailure, true);
		}
	};

	/** Decides on a run whose connection is lost, which the engine may not have noticed. */
	const decideWithoutConnection = async (
		attempt: StreamAttempt,
		failure: SendFailure,
	) => {
		for (let count = 0; count < lostConnection.maxQuestions; count++) {
			const finding = await find(attempt);
			if (!isCurrent(attempt)) {
				return;
			}

			if (finding === 'ended' || finding === 'unreachable') {
				onLost(attempt, failure, false);
				return;
			}

			if (finding !== 'unknown' && (await stop(attempt, failure, false))) {
				return;
			}

			await timers.sleep(lostConnection.intervalMs);
		}

		if (isCurrent(attempt)) {
			giveUp('the run may be in progress, but its connection is lost');
		}
	};

	const run = (decision: Promise<void>) => {
		isPending = true;
		void decision.finally(() => {
			isPending = false;
		});
	};

	/** @returns true if the engine is to be asked now; the pauses between its questions grow */
	const takeQuestion = () => {
		const {progressCount} = stallDetector;
		const atMs = clock.nowMs();
		const questions =
			askedAt.progressCount === progressCount ? askedAt.questions : 0;
		const waitMs = questions === 0 ? 0 : askAgainMs * 2 ** (questions - 1);
		const isDue =
			stallDetector.untilStallMs < statusTimeoutMs &&
			atMs - askedAt.atMs >= waitMs;
		if (isDue) {
			askedAt = {progressCount, questions: questions + 1, atMs};
		}

		return isDue;
	};

	return {
		check(attempt) {
			const mayAsk =
				!isPending && disconnected !== attempt && retries.mayRequest;
			if (mayAsk && takeQuestion()) {
				run(decide(attempt));
			}
		},
		connectionTimedOut(attempt, failure) {
			disconnected = attempt;
			run(decideWithoutConnection(attempt, failure));
		},
	};
}
