import * as z from 'zod';
import {ProblemError, toProblem} from '../../common/index.js';
import {
	checkEdit,
	type ConfigurationChange,
	type ConfigurationEdit,
} from '../../decisions/configuration/index.js';

const text = z.string().min(1).max(1000);
const settingValue = z.union([
	z.number(),
	z.string(),
	z.boolean(),
	z.record(z.string(), z.unknown()),
]);

const editSchema = z.discriminatedUnion('op', [
	z.object({op: z.literal('set'), key: text, value: settingValue}),
	z.object({op: z.literal('unset'), key: text}),
	z.object({
		op: z.literal('except'),
		scope: z.string(),
		key: text,
		value: settingValue,
		reason: z.string(),
	}),
	z.object({op: z.literal('unexcept'), scope: z.string(), key: text}),
]);

const changesSchema = z.array(
	z.object({
		version: z.number().int().min(1),
		changeId: text,
		author: z.string(),
		atWallMs: z.number(),
		edits: z.array(editSchema),
	}),
);

/**
 * Checks configuration changes that a peer sent.
 * @throws ProblemError `peer-protocol` or `invalid-configuration`
 */
export function parseConfigurationChanges(
	value: unknown,
): readonly ConfigurationChange[] {
	const result = changesSchema.safeParse(value);
	if (!result.success) {
		throw new ProblemError(
			'peer-protocol',
			`configuration changes of a peer are malformed: ${result.error.issues[0].message}`,
			{
				field: result.error.issues[0].path.join('.'),
				cause: toProblem(result.error),
			},
		);
	}

	return result.data.map((change) => ({
		...change,
		edits: change.edits.map((edit) => checkEdit(edit as ConfigurationEdit)),
	}));
}
