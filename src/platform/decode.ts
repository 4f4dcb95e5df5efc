import type * as z from 'zod';
import {ProblemError, type ProblemType} from '../common/index.js';

/** Names a part of a larger value that is validated separately. */
export type ValuePart = {
	/** Name of the larger value in error messages. */
	readonly label: string;
	/** Path of the part in the larger value. */
	readonly path: ReadonlyArray<number | string>;
};

/**
 * Validates a value against a schema.
 * @param name - name of the value in error messages; for a part of a larger value, the name of the latter
 *   and the path of the part
 * @throws ProblemError of type `problemType` whose `field` is the path of the first invalid field
 */
export function decode<T>(
	schema: z.ZodType<T>,
	value: unknown,
	name: string | ValuePart,
	problemType: ProblemType,
): T {
	const {label, path} =
		typeof name === 'string' ? {label: name, path: []} : name;
	const result = schema.safeParse(value);
	if (result.success) {
		return result.data;
	}

	const [issue] = result.error.issues;
	const field = [...path, ...issue.path].join('.');
	throw new ProblemError(
		problemType,
		`${label}: field "${field}" is invalid: ${issue.message}`,
		{field},
	);
}

/**
 * Parses JSON.
 * @param label - name of the value in error messages
 * @throws ProblemError of type `problemType` if the text is not valid JSON
 */
export function parseJson(
	text: string,
	label: string,
	problemType: ProblemType,
): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch (error) {
		throw new ProblemError(problemType, `${label} is not valid JSON`, {
			cause: error as Error,
		});
	}
}
