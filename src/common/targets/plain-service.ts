import type {TargetDescription} from './types.js';

/** Call to a plain service. */
export type ServiceCall = {
	readonly method: string;
	/** Path below the service, with a leading slash. */
	readonly path: string;
	readonly body: string;
	readonly contentType: string;
	/** Present on calls that may not be repeated. */
	readonly idempotencyKey: string | undefined;
	readonly timeoutMs: number;
};

/** Answer of a plain service. */
export type ServiceResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

/** A plain service. */
export abstract class PlainService {
	abstract readonly description: TargetDescription;

	/**
	 * Makes one attempt. Rejects with `target-unavailable` if the call provably did not reach
	 * the service, and with `outcome-unknown` if it may have.
	 */
	abstract call(call: ServiceCall): Promise<ServiceResponse>;

	/**
	 * Asks whether a call took effect.
	 * @returns the recorded answer, or undefined if the service has not seen the key so far
	 */
	abstract outcome(
		idempotencyKey: string,
	): Promise<ServiceResponse | undefined>;
}
