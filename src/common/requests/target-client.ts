import type {TargetEntry} from '../deployment/index.js';
import type {
	ResponseListener,
	CallerRequest,
	CopyOrder,
	CopyResult,
	EngineReport,
	RunStatus,
	SendHandle,
	SendOptions,
	StopRunResult,
	TargetLiveness,
} from './types.js';

/** Sends requests to targets and owns the connections to them. */
export abstract class TargetClient {
	/** Names of the fields that events of targets may have besides those of server-sent events. */
	readonly extraEventFields: ReadonlySet<string> = new Set();
	/** Time within which engines send the first part of a run's backup once the run makes progress, in milliseconds. */
	abstract readonly backupDelayMs: number;

	/**
	 * Sends a request once, without retries. Exactly one of `onEnd` and `onFailure` is called, unless
	 * disposed before.
	 * @param address - `address:port` of the target
	 */
	abstract send(
		address: string,
		request: CallerRequest,
		options: SendOptions,
		listener: ResponseListener,
	): SendHandle;

	/**
	 * Copies the KV cache of a run to another engine, while the run continues. Later calls for the same
	 * run copy only what was added since.
	 */
	abstract copyKvCache(
		order: CopyOrder,
		timeoutMs: number,
	): Promise<CopyResult>;

	/**
	 * Stops a run and copies what another engine lacks of its KV cache. The order is sent over a new connection,
	 * so that it arrives if the connection of the run does not work; never rejects.
	 */
	abstract stopRun(order: CopyOrder, timeoutMs: number): Promise<StopRunResult>;

	/**
	 * Asks an engine over a new connection whether it has a run; never rejects.
	 * @param requestId - id of the request that the run serves
	 */
	abstract runStatus(
		target: TargetEntry,
		requestId: string,
		timeoutMs: number,
	): Promise<RunStatus>;

	/**
	 * Frees a KV cache copy that is no longer needed, at both engines.
	 * @param address - `address:port` of the engine that issued the handle
	 */
	abstract releaseCopy(address: string, handle: string): void;

	/** Requests the load report of an engine. */
	abstract report(address: string, timeoutMs: number): Promise<EngineReport>;

	/** Finds out whether an engine has ended since it registered; never rejects. */
	abstract checkLiveness(
		target: TargetEntry,
		timeoutMs: number,
	): Promise<TargetLiveness>;

	/**
	 * Closes the connections to a target once their requests have ended. Later requests open new ones.
	 */
	abstract closeConnections(address: string): void;

	/** Sets the largest number of connections from this VM to a target. */
	abstract setMaxConnections(address: string, count: number): void;

	/** Closes the connections to all targets that are not in `addresses`, once their requests have ended. */
	abstract retainOnly(addresses: ReadonlySet<string>): void;
}
