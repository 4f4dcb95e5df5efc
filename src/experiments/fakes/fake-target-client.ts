import {
	type ResponseHead,
	type ResponseListener,
	type CallerRequest,
	type CopyResult,
	type EngineReport,
	type SendHandle,
	type SendOptions,
	TargetClient,
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

/** Target client that records what it sends and leaves the responses to the test. */
export class FakeTargetClient extends TargetClient {
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

	override async copyKvCache(
		address: string,
		_requestId: string,
		toAddress: string,
	): Promise<CopyResult> {
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
		};
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
