import VError from 'verror';
import type {ProblemType} from './types.js';

/** Optional parts of a problem. */
export type ProblemOptions = {
	/** Underlying failure. */
	readonly cause?: Error;
	/** Name of the offending field, flag, header or row. */
	readonly field?: string;
	/** Time after which the caller may try again, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Further machine-readable members, free of secrets. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** The one error class of the system; `type` tells the failures apart. */
export class ProblemError extends VError {
	readonly type: ProblemType;
	/** The message without those of the causes, fit to be shown to callers. */
	readonly detail: string;
	readonly field: string | undefined;
	readonly retryAfterMs: number | undefined;
	readonly details: Readonly<Record<string, unknown>> | undefined;

	/**
	 * @param type - stable problem type
	 * @param message - what went wrong and what is allowed, free of secrets
	 * @param options - cause, field, retry time and further members
	 */
	constructor(
		type: ProblemType,
		message: string,
		options: ProblemOptions = {},
	) {
		super({name: 'ProblemError', cause: options.cause}, '%s', message);
		this.type = type;
		this.detail = message;
		this.field = options.field;
		this.retryAfterMs = options.retryAfterMs;
		this.details = options.details;
	}
}

/**
 * Turns any thrown value into a problem.
 * @param thrown - caught value
 * @param fallback - type given to values that are not problems already
 */
export function toProblem(
	thrown: unknown,
	fallback: ProblemType = 'internal',
): ProblemError {
	if (thrown instanceof ProblemError) {
		return thrown;
	}

	const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
	return new ProblemError(fallback, cause.message, {cause});
}
