import * as z from 'zod';
import {ProblemError} from '../../common/index.js';
import type {SettingValue} from './types.js';

const positiveNumber = z.number().positive();
const tokensPerMinute = z.number().nonnegative();
const durationMs = z.number().int().min(0).max(86_400_000);

/** Validation and default of one scalar setting. */
export type SettingSchema = {
	readonly schema: z.ZodType<SettingValue>;
	readonly defaultValue: SettingValue;
	/** Allowed values with their unit, for error messages. */
	readonly allowed: string;
};

/** All scalar settings of the configuration by key. */
export const settingSchemas: Readonly<Record<string, SettingSchema>> = {
	'contract.floorTokensPerMinute': {
		schema: tokensPerMinute,
		defaultValue: 0,
		allowed: 'tokens a minute, 0 or more',
	},
	'contract.ceilingTokensPerMinute': {
		schema: tokensPerMinute,
		defaultValue: 1_000_000_000,
		allowed: 'tokens a minute, 0 or more',
	},
	'contract.shareWeight': {
		schema: positiveNumber,
		defaultValue: 1,
		allowed: 'number above 0',
	},
	'class.defaultDelivery': {
		schema: z.enum(['whole', 'restartable', 'live']),
		defaultValue: 'whole',
		allowed: 'whole, restartable or live',
	},
	'class.resumeWindowMs': {
		schema: durationMs,
		defaultValue: 10_000,
		allowed: 'milliseconds, 0 to 86400000',
	},
	'class.maxTokens': {
		schema: z.number().int().min(1).max(1_000_000),
		defaultValue: 50_000,
		allowed: 'tokens, 1 to 1000000',
	},
	'class.queueTimeoutMs': {
		schema: durationMs,
		defaultValue: 30_000,
		allowed: 'milliseconds, 0 to 86400000',
	},
	'weights.stallPerSecond': {
		schema: z.number().nonnegative(),
		defaultValue: 1,
		allowed: 'cost for each second, 0 or more',
	},
	'weights.preemption': {
		schema: z.number().nonnegative(),
		defaultValue: 1,
		allowed: 'cost for each preemption, 0 or more',
	},
	'weights.tailPerSecond': {
		schema: z.number().nonnegative(),
		defaultValue: 1,
		allowed: 'cost for each second, 0 or more',
	},
	'lease.durationMs': {
		schema: z.number().int().min(1000).max(600_000),
		defaultValue: 15_000,
		allowed: 'milliseconds, 1000 to 600000',
	},
	'lease.renewalMs': {
		schema: z.number().int().min(250).max(200_000),
		defaultValue: 5000,
		allowed:
			'milliseconds, 250 to 200000; more than a third of lease.durationMs counts as a third',
	},
	'lease.resendMs': {
		schema: z.number().int().min(500).max(600_000),
		defaultValue: 10_000,
		allowed: 'milliseconds, 500 to 600000',
	},
	'lease.lateCopyMs': {
		schema: durationMs,
		defaultValue: 120_000,
		allowed: 'milliseconds, 0 to 86400000',
	},
	'lease.candidatesPerTarget': {
		schema: z.number().int().min(2).max(16),
		defaultValue: 2,
		allowed: 'VMs that watch each lease, 2 to 16',
	},
	'placement.growAtLoad': {
		schema: z.number().positive().max(1),
		defaultValue: 0.8,
		allowed: 'share of the copies at full load, above 0 to 1',
	},
	'placement.shrinkAtLoad': {
		schema: z.number().positive().max(1),
		defaultValue: 0.5,
		allowed:
			'share of the remaining copies at full load, above 0 and below placement.growAtLoad',
	},
	'placement.minDwellMs': {
		schema: durationMs,
		defaultValue: 300_000,
		allowed: 'milliseconds, 0 to 86400000',
	},
	'placement.stepInMs': {
		schema: z.number().int().min(1000).max(600_000),
		defaultValue: 30_000,
		allowed: 'milliseconds, 1000 to 600000',
	},
	'weightStore.bytesPerSecond': {
		schema: positiveNumber,
		defaultValue: 1_000_000_000,
		allowed: 'bytes a second for the whole fleet, above 0',
	},
	'weightStore.burstBytes': {
		schema: positiveNumber,
		defaultValue: 200_000_000_000,
		allowed: 'bytes, above 0',
	},
};

const modelSchema = z
	.object({
		version: z.string().default(''),
		minCopies: z.number().int().min(0).max(10_000).default(1),
		maxCopies: z.number().int().min(1).max(10_000).default(10_000),
		tokensPerSecondPerCopy: positiveNumber,
		tokensPerSecondPerStream: positiveNumber.default(20),
		queuePerCopy: positiveNumber.default(20),
	})
	.refine((model) => model.minCopies <= model.maxCopies, {
		error: 'minCopies at most maxCopies',
	});

const targetSchema = z.object({
	kind: z.enum(['engine', 'service']),
	url: z.url(),
	availabilityZone: z.string().min(1),
	models: z.array(z.string()).default([]),
	service: z.string().default(''),
	fencing: z.enum(['refuses-old', 'ignores']).default('ignores'),
	answersOutcomes: z.boolean().default(false),
});

const targetKeyPattern = /^target\.[\w-]+$/;
const modelKeyPattern = /^model\.[\w.-]+$/;

function schemaOf(key: string): z.ZodType<SettingValue> | undefined {
	if (modelKeyPattern.test(key)) {
		return modelSchema;
	}

	if (targetKeyPattern.test(key)) {
		return targetSchema;
	}

	return Object.hasOwn(settingSchemas, key)
		? settingSchemas[key].schema
		: undefined;
}

/**
 * Validates the value of a setting, model or target.
 * @returns the value, with defaults filled in for absent properties
 * @throws ProblemError `invalid-configuration` naming the key and what is allowed
 */
export function checkSetting(key: string, value: unknown): SettingValue {
	const schema = schemaOf(key);
	if (!schema) {
		throw new ProblemError(
			'invalid-configuration',
			`setting "${key}" does not exist`,
			{
				field: key,
			},
		);
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		const allowed =
			settingSchemas[key]?.allowed ?? result.error.issues[0].message;
		throw new ProblemError(
			'invalid-configuration',
			`setting "${key}" allows: ${allowed}`,
			{
				field: key,
			},
		);
	}

	return result.data;
}

/**
 * Validates a stored value. A key that this program version does not know comes from a newer version; its value is
 * kept as it is and has no effect here.
 * @throws ProblemError `invalid-configuration`
 */
export function checkStoredSetting(
	key: string,
	value: SettingValue,
): SettingValue {
	return isKnownSetting(key) ? checkSetting(key, value) : value;
}

/** Whether a key names a scalar setting or a target. */
export function isKnownSetting(key: string): boolean {
	return targetKeyPattern.test(key) || Object.hasOwn(settingSchemas, key);
}
