import {
	type ResponseHead,
	type ResponseListener,
	type CallerRequest,
	type CopyOrder,
	type CopyResult,
	type EngineReport,
	type RunStatus,
	type SendHandle,
	type SendOptions,
	type StopRunResult,
	TargetClient,
	type TargetEntry,
	type TargetLiveness,
} from '../../common/index.js';

/** Request that a session sent to a target; the test responds through `listener`. */
export type FakeSend = {
	readonly address: string;
	readonly request: CallerRequest;
	readonly options: SendOptions;
	readonly listener: ResponseListener;
	/** True once the session aborted the request. */
	isDisposed: boolean;
	/** True while the session does not read the response. */
	isPaused: boolean;
};

/** Creates the head of a response with status 200 that a target sent. */
export function fakeResponseHead(
	requestId: string,
	changes: Partial<ResponseHead> = {},
): ResponseHead {
	return {
		status: 200,
		headers: [],
		requestId,
		isFromTarget: true,
		notExecuted: false,
		hasContentEncoding: false,
		rateLimit: {state: 'unlimited'},
		leaving: {state: 'staying'},
		backOff: {state: 'none'},
		cold: {state: 'not-stated'},
		...changes,
	};
}

/** Creates options for sending a call to target `t1`, apart from `changes`. */
export function fakeSendOptions(
	changes: Partial<SendOptions> = {},
): SendOptions {
	return {
		expectedTargetId: 't1',
		account: undefined,
		timeoutMs: 900,
		priority: undefined,
		backupAddress: undefined,
		continueFrom: undefined,
		lastEventId: undefined,
		mayStart: () => true,
		maxAnswerBytes: 1_048_576,
		...changes,
	};
}

/** Target client that records what it sends and leaves the responses to the test. */
export class FakeTargetClient extends TargetClient {
	override backupDelayMs = 0;
	readonly sends: FakeSend[] = [];
	/** Requested KV cache copies. */
	readonly copies: Array<{
		readonly address: string;
		readonly toAddress: string;
	}> = [];

	/** Handles of the copies that were released. */
	readonly releasedHandles: string[] = [];
	/** Targets to which connections were closed. */
	readonly closedAddresses: string[] = [];
	/** Orders to stop a run. */
	readonly stops: Array<{
		readonly address: string;
		readonly toAddress: string;
	}> = [];

	/** Engines that were asked about a run, in order, with repetitions. */
	readonly askedTargetIds: string[] = [];
	/** Result of each order to stop a run, by the address of the engine that receives its copy. */
	stopResult: (toAddress: string) => Promise<StopRunResult> | StopRunResult =
		() => ({outcome: 'failed', reason: 'status 503'});

	/** What engines say of the run that they are asked about. */
	status: () => Promise<RunStatus> | RunStatus = () => ({
		state: 'unreachable',
		reason: 'no response in time',
	});

	/** Result of each copy, by the address of the engine that receives it. */
	copyResult: (toAddress: string) => CopyResult = () => ({
		outcome: 'unknown-run',
	});

	override send(
		address: string,
		request: CallerRequest,
		options: SendOptions,
		listener: ResponseListener,
	): SendHandle {
		const send: FakeSend = {
			address,
			request,
			options,
			listener,
			isDisposed: false,
			isPaused: false,
		};
		this.sends.push(send);
		return {
			pause() {
				send.isPaused = true;
			},
			resume() {
				send.isPaused = false;
			},
			dispose() {
				send.isDisposed = true;
			},
		};
	}

	override async copyKvCache({
		address,
		toAddress,
	}: CopyOrder): Promise<CopyResult> {
		this.copies.push({address, toAddress});
		return this.copyResult(toAddress);
	}

	override releaseCopy(_address: string, handle: string): void {
		this.releasedHandles.push(handle);
	}

	override async report(): Promise<EngineReport> {
		return {
			queuedCount: 0,
			runningCount: 0,
			usedTokens: 0,
			capacityTokens: 34_000,
			leaving: false,
			coldMs: 0,
			bornMs: undefined,
			runs: undefined,
		};
	}

	override async stopRun({
		address,
		toAddress,
	}: CopyOrder): Promise<StopRunResult> {
		this.stops.push({address, toAddress});
		return this.stopResult(toAddress);
	}

	override async runStatus(target: TargetEntry): Promise<RunStatus> {
		this.askedTargetIds.push(target.id);
		return this.status();
	}

	override async checkLiveness(): Promise<TargetLiveness> {
		return 'unknown';
	}

	override closeConnections(address: string): void {
		this.closedAddresses.push(address);
	}

	override setMaxConnections(): void {
		// There are no connections.
	}

	override retainOnly(): void {
		// There are no connections.
	}
}
