import type {TargetDescription} from './types.js';

/** A call to a plain service. */
export type ServiceCall = {
	readonly method: string;
	/** Path relative to the service's base URL, with a leading slash. */
	readonly path: string;
	readonly body: string;
	readonly contentType: string;
	/** Set on calls that must not be executed more than once. */
	readonly idempotencyKey: string | undefined;
	readonly timeoutMs: number;
};

/** Response of a plain service. */
export type ServiceResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** Client of a plain service. */
export abstract class PlainService {
	abstract readonly description: TargetDescription;

	/**
	 * Makes one attempt. Rejects with `target-unavailable` if the call certainly did not reach the
	 * service, and with `outcome-unknown` if it may have reached it.
	 */
	abstract call(call: ServiceCall): Promise<ServiceResponse>;

	/**
	 * Looks up whether the call with an idempotency key was executed.
	 * @returns the recorded response, or undefined if the service has not seen the key so far
	 */
	abstract outcome(
		idempotencyKey: string,
	): Promise<ServiceResponse | undefined>;
}
