import * as z from 'zod';
import {ProblemError, type Row} from '../../common/index.js';
import {checkEdit} from './fleet-configuration.js';
import {checkStoredSetting} from './setting-schemas.js';
import type {
	ConfigurationChange,
	ConfigurationEdit,
	ExceptionScope,
	FleetConfiguration,
	SettingValue,
} from './types.js';

/** Prefix of the rows that hold one change each. */
export const versionPrefix = 'config/version/';

/** Prefix of the rows that hold a whole configuration. */
export const snapshotPrefix = 'config/snapshot/';

const versionDigits = 12;
const versionSchema = z.number().int().min(1);

const value = z.custom<SettingValue>(
	(given) =>
		['number', 'string', 'boolean'].includes(typeof given) ||
		(typeof given === 'object' && given !== null),
);
const scope = z.custom<ExceptionScope>((given) => typeof given === 'string');
const key = z.string().min(1);

const editSchema = z.discriminatedUnion('op', [
	z.object({op: z.literal('set'), key, value}),
	z.object({op: z.literal('unset'), key}),
	z.object({op: z.literal('except'), scope, key, value, reason: z.string()}),
	z.object({op: z.literal('unexcept'), scope, key}),
]);

const changeSchema = z.object({
	version: versionSchema,
	changeId: z.string().min(1),
	author: z.string(),
	atWallMs: z.number(),
	edits: z.array(editSchema).min(1),
});

const snapshotSchema = z.object({
	version: versionSchema,
	values: z.record(z.string(), value),
	exceptions: z.array(
		z.object({
			scope,
			key,
			value,
			reason: z.string().min(1),
			sinceVersion: versionSchema,
		}),
	),
});

/** Key of the row of a version's change. */
export function versionRowKey(version: number): string {
	return versionPrefix + String(version).padStart(versionDigits, '0');
}

/** Key of the row of a version's snapshot. */
export function snapshotRowKey(version: number): string {
	return snapshotPrefix + String(version).padStart(versionDigits, '0');
}

function corruptRow(rowKey: string, cause?: unknown): ProblemError {
	return new ProblemError(
		'table-corrupt-row',
		`row "${rowKey}" holds no valid configuration`,
		{field: rowKey, cause: cause instanceof Error ? cause : undefined},
	);
}

/**
 * Checks a change that came from the table service or a peer.
 * @throws ProblemError `invalid-configuration`
 */
export function checkChange(given: unknown): ConfigurationChange {
	const result = changeSchema.safeParse(given);
	if (!result.success) {
		throw new ProblemError(
			'invalid-configuration',
			`not a change of the configuration: ${result.error.issues[0].message}`,
			{field: result.error.issues[0].path.join('.')},
		);
	}

	return {
		...result.data,
		edits: result.data.edits.map((edit) => checkStoredEdit(edit)),
	};
}

function checkStoredEdit(edit: ConfigurationEdit): ConfigurationEdit {
	return 'value' in edit
		? checkEdit(
				{...edit, value: checkStoredSetting(edit.key, edit.value)},
				true,
			)
		: edit;
}

/**
 * Reads the row of a change.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseChangeRow(row: Row): ConfigurationChange {
	let change;
	try {
		change = checkChange(JSON.parse(row.value));
	} catch (error) {
		throw corruptRow(row.key, error);
	}

	if (versionRowKey(change.version) !== row.key) {
		throw corruptRow(row.key);
	}

	return change;
}

/** Value of the row of a snapshot. */
export function encodeSnapshot(configuration: FleetConfiguration): string {
	return JSON.stringify({
		version: configuration.version,
		values: Object.fromEntries(configuration.values),
		exceptions: [...configuration.exceptions.values()],
	});
}

/**
 * Reads the row of a snapshot.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseSnapshotRow(row: Row): FleetConfiguration {
	try {
		const found = snapshotSchema.parse(JSON.parse(row.value));
		if (snapshotRowKey(found.version) !== row.key) {
			throw corruptRow(row.key);
		}

		const values = Object.entries(found.values).map(
			([name, stored]) => [name, checkStoredSetting(name, stored)] as const,
		);
		return {
			version: found.version,
			values: new Map(values),
			exceptions: new Map(
				found.exceptions.map((one) => [`${one.scope} ${one.key}`, one]),
			),
		};
	} catch (error) {
		throw corruptRow(row.key, error);
	}
}
