import VError from 'verror';
import type {ProblemType} from './types.js';

/** Optional fields of a `ProblemError`. */
export type ProblemOptions = {
	/** Underlying failure. */
	readonly cause?: Error;
	/** Name of the invalid field, flag, header or row. */
	readonly field?: string;
	/** Time after which the caller may retry, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Further machine-readable members; must contain no secrets. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** The error class of all expected failures; `type` identifies the kind of failure. */
export class ProblemError extends VError {
	readonly type: ProblemType;
	/** The message without the messages of the causes; may be shown to callers. */
	readonly detail: string;
	readonly field: string | undefined;
	readonly retryAfterMs: number | undefined;
	readonly details: Readonly<Record<string, unknown>> | undefined;

	/**
	 * @param message - what is wrong and what is allowed; must contain no secrets
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
 * Converts a thrown value to a `ProblemError`.
 * @param fallback - type used unless the value is a `ProblemError` already
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
