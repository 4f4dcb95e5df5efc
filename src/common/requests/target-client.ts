import type {Disposable} from '../base/index.js';
import type {
	ResponseListener,
	CallerRequest,
	CopyResult,
	EngineReport,
	SendOptions,
} from './types.js';

/** Connections to targets. */
export abstract class TargetClient {
	/**
	 * Sends a request once. Exactly one of `onEnd` and `onFailure` is called, unless disposed.
	 * @param address - `address:port` of the target
	 * @returns disposing it breaks the send off and closes its connection
	 */
	abstract send(
		address: string,
		request: CallerRequest,
		orders: SendOptions,
		sink: ResponseListener,
	): Disposable;

	/**
	 * Copies the memory of a run to another engine; the run goes on meanwhile. Called again, it copies
	 * only what is new.
	 * @param address - engine that runs it
	 * @param toAddress - engine that receives the copy
	 */
	abstract copyKvCache(
		address: string,
		runId: string,
		toAddress: string,
		timeoutMs: number,
	): Promise<CopyResult>;

	/** Frees a copy that is not needed, at both ends. */
	abstract releaseCopy(address: string, handle: string): void;

	/** Asks an engine for its load. */
	abstract report(address: string, timeoutMs: number): Promise<EngineReport>;

	/** Opens new connections from now on; requests under way keep theirs. */
	abstract closeConnections(address: string): void;

	/** Sets the connections that this VM may have to one target. */
	abstract setMaxConnections(address: string, count: number): void;

	/** Closes the connections to targets that are gone once their requests have ended. */
	abstract retainOnly(addresses: ReadonlySet<string>): void;
}
