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
	(input) =>
		['number', 'string', 'boolean'].includes(typeof input) ||
		(typeof input === 'object' && input !== null),
);
const scope = z.custom<ExceptionScope>((input) => typeof input === 'string');
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

/** Key of the row that holds a version's change. */
export function versionRowKey(version: number): string {
	return versionPrefix + String(version).padStart(versionDigits, '0');
}

/** Key of the row that holds a version's snapshot. */
export function snapshotRowKey(version: number): string {
	return snapshotPrefix + String(version).padStart(versionDigits, '0');
}

function corruptRow(rowKey: string, cause?: unknown): ProblemError {
	return new ProblemError(
		'table-corrupt-row',
		`row "${rowKey}" does not hold a valid configuration change or snapshot`,
		{field: rowKey, cause: cause instanceof Error ? cause : undefined},
	);
}

/**
 * Validates a change that was received from the table service or a peer.
 * @throws ProblemError `invalid-configuration`
 */
export function checkChange(input: unknown): ConfigurationChange {
	const result = changeSchema.safeParse(input);
	if (!result.success) {
		throw new ProblemError(
			'invalid-configuration',
			`configuration change is malformed: ${result.error.issues[0].message}`,
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
 * Parses the row of a change.
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
 * Parses the row of a snapshot.
 * @throws ProblemError `table-corrupt-row`
 */
export function parseSnapshotRow(row: Row): FleetConfiguration {
	try {
		const snapshot = snapshotSchema.parse(JSON.parse(row.value));
		if (snapshotRowKey(snapshot.version) !== row.key) {
			throw corruptRow(row.key);
		}

		const values = Object.entries(snapshot.values).map(
			([name, stored]) => [name, checkStoredSetting(name, stored)] as const,
		);
		return {
			version: snapshot.version,
			values: new Map(values),
			exceptions: new Map(
				snapshot.exceptions.map((exception) => [
					`${exception.scope} ${exception.key}`,
					exception,
				]),
			),
		};
	} catch (error) {
		throw corruptRow(row.key, error);
	}
}
