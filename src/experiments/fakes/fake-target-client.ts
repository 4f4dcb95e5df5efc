import {
	type ResponseHead,
	type ResponseListener,
	type CallerRequest,
	type CopyResult,
	type Disposable,
	type EngineReport,
	type SendOptions,
	TargetClient,
} from '../../common/index.js';

/** A send that a test answers. */
export type FakeSend = {
	readonly address: string;
	readonly request: CallerRequest;
	readonly options: SendOptions;
	readonly listener: ResponseListener;
	/** True once the sender broke it off. */
	isDisposed: boolean;
};

/** Head of an answer that a target made. */
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
		...changes,
	};
}

/** Connections whose answers a test gives. */
export class FakeTargetClient extends TargetClient {
	readonly sends: FakeSend[] = [];
	readonly copies: Array<{
		readonly address: string;
		readonly toAddress: string;
	}> = [];

	readonly releasedHandles: string[] = [];
	readonly closedAddresses: string[] = [];
	copyResult: (toAddress: string) => CopyResult = () => ({
		outcome: 'unknown-run',
	});

	override send(
		address: string,
		request: CallerRequest,
		options: SendOptions,
		listener: ResponseListener,
	): Disposable {
		const send: FakeSend = {
			address,
			request,
			options,
			listener,
			isDisposed: false,
		};
		this.sends.push(send);
		return {
			dispose() {
				send.isDisposed = true;
			},
		};
	}

	override async copyKvCache(
		address: string,
		_runId: string,
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
		};
	}

	override closeConnections(address: string): void {
		this.closedAddresses.push(address);
	}

	override setMaxConnections(): void {
		// Tests do not count connections.
	}

	override retainOnly(): void {
		// Tests do not keep connections.
	}
}
