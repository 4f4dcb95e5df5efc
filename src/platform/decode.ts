import type * as z from 'zod';
import {ProblemError, type ProblemType} from '../common/index.js';

/** Part of a value that is checked by itself. */
export type ValuePart = {
	readonly whole: string;
	readonly path: ReadonlyArray<number | string>;
};

/**
 * Checks a value against a schema.
 * @param what - what the value is, for the message; a part of a larger value also names its path
 * @throws ProblemError of the given type that names the first bad field
 */
export function decode<T>(
	schema: z.ZodType<T>,
	value: unknown,
	what: string | ValuePart,
	problem: ProblemType,
): T {
	const {whole, path} =
		typeof what === 'string' ? {whole: what, path: []} : what;
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const [issue] = result.error.issues;
	const field = [...path, ...issue.path].join('.');
	throw new ProblemError(
		problem,
		`${whole}: field "${field}" is invalid: ${issue.message}`,
		{field},
	);
}

/**
 * Parses JSON.
 * @throws ProblemError of the given type
 */
export function parseJson(
	text: string,
	what: string,
	problem: ProblemType,
): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new ProblemError(problem, `${what} is not JSON`, {
			cause: error as Error,
		});
	}
}
