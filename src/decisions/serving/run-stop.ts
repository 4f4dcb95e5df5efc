import type {SendFailure, TargetEntry} from '../../common/index.js';
import type {RunCopy} from './run-copies.js';
import type {AdmittedRequest} from './session-types.js';
import type {StreamAttempt} from './stream-attempt.js';
import type {StreamCopies} from './stream-copies.js';
import type {StreamSessionOptions} from './stream-session-types.js';

export type RunStopOptions = {
	readonly admitted: AdmittedRequest;
	readonly session: Pick<StreamSessionOptions, 'log' | 'targetClient'>;
	readonly copies: StreamCopies;
	/** True while the attempt is the open one of its stream. */
	readonly isCurrent: (attempt: StreamAttempt) => boolean;
};

/** What has become of a run that was to be stopped. */
export type RunStopOutcome =
	/** The run can continue from a copy that is queued first. */
	| {readonly state: 'stopped'}
	/** The stream has ended, or goes on in another attempt. */
	| {readonly state: 'not-needed'}
	/** The run may go on at its engine; its connection may have failed meanwhile. */
	| {readonly state: 'not-stopped'; readonly failure: SendFailure | undefined};

/** Stops the run of a stream at its engine, so that it can continue elsewhere. */
export type RunStop = {
	/** Stops the run; its copy is added to those of the attempt. */
	stop(attempt: StreamAttempt): Promise<RunStopOutcome>;
	/**
	 * Called when the connection of a run fails. An engine that stops a run closes its connection, which may be
	 * seen before the result of the order.
	 * @returns true if the failure will be part of the outcome of a pending order
	 */
	holdFailure(attempt: StreamAttempt, failure: SendFailure): boolean;
};

/** Time in which an engine copies a run that it has stopped, in milliseconds. */
const stopTimeoutMs = 2500;

/** Creates the stops of one stream's runs; one is pending at most. */
export function createRunStop({
	admitted,
	session: {log, targetClient},
	copies,
	isCurrent,
}: RunStopOptions): RunStop {
	const {request} = admitted;
	let pending: StreamAttempt | undefined;
	let heldFailure: SendFailure | undefined;

	const order = async (source: TargetEntry, destination: TargetEntry) => {
		const result = await targetClient.stopRun(
			{
				address: source.address,
				requestId: request.id,
				toAddress: destination.address,
			},
			stopTimeoutMs,
		);
		log('run stopped', {
			request: request.id,
			target: source.id,
			to: destination.id,
			outcome: result.outcome,
			holder: result.outcome === 'stopped' ? result.holder : undefined,
			reason: result.outcome === 'failed' ? result.reason : undefined,
		});
		return result;
	};

	/** @returns the copy of the stopped run; undefined if the run may go on */
	const stopAndCopy = async (
		attempt: StreamAttempt,
	): Promise<RunCopy | undefined> => {
		const source = attempt.placement.target;
		const destination = await copies.chooseHolder(attempt);
		if (!destination || !isCurrent(attempt)) {
			return undefined;
		}

		const result = await order(source, destination);
		if (result.outcome !== 'stopped') {
			return undefined;
		}

		const target = result.holder === 'source' ? source : destination;
		return {target, kvCache: result.kvCache, certainty: 'known'};
	};

	return {
		async stop(attempt) {
			pending = attempt;
			heldFailure = undefined;
			const copy = await stopAndCopy(attempt);
			pending = undefined;
			if (!isCurrent(attempt)) {
				if (copy) {
					const {address, handle} = copy.kvCache;
					targetClient.releaseCopy(address, handle);
				}

				return {state: 'not-needed'};
			}

			if (!copy) {
				return {state: 'not-stopped', failure: heldFailure};
			}

			attempt.copies.unshift(copy);
			return {state: 'stopped'};
		},
		holdFailure(attempt, failure) {
			const isHeld = pending === attempt;
			if (isHeld) {
				heldFailure = failure;
			}

			return isHeld;
		},
	};
}
