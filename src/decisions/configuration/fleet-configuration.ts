import {
	type ClassSettings,
	type Contract,
	type CostWeights,
	ProblemError,
	type TargetDescription,
} from '../../common/index.js';
import {checkSetting, settingSchemas} from './setting-schemas.js';
import type {
	ConfigurationChange,
	ConfigurationEdit,
	ConfigurationException,
	EffectiveSettings,
	ExceptionScope,
	FleetConfiguration,
	SettingValue,
} from './types.js';

const scopePattern = /^(account|class|zone|target):.+$/;
const targetPrefix = 'target.';

/** The configuration before the first change. */
export const emptyConfiguration: FleetConfiguration = {
	version: 0,
	values: new Map(),
	exceptions: new Map(),
};

/**
 * Checks one edit.
 * @returns the edit with checked values
 * @throws ProblemError `invalid-configuration`
 */
export function checkEdit(edit: ConfigurationEdit): ConfigurationEdit {
	switch (edit.op) {
		case 'set': {
			return {...edit, value: checkSetting(edit.key, edit.value)};
		}

		case 'except': {
			if (edit.reason.trim() === '') {
				throw new ProblemError(
					'invalid-configuration',
					'an exception needs a written reason',
					{
						field: 'reason',
					},
				);
			}

			if (!scopePattern.test(edit.scope)) {
				throw new ProblemError(
					'invalid-configuration',
					`scope "${edit.scope}" allows: account:NAME, class:NAME, zone:NAME or target:NAME`,
					{field: 'scope'},
				);
			}

			return {...edit, value: checkSetting(edit.key, edit.value)};
		}

		case 'unset':
		case 'unexcept': {
			return edit;
		}
	}
}

/**
 * Applies the next change.
 * @throws ProblemError `invalid-configuration` if the change is not the next version
 */
export function applyChange(
	configuration: FleetConfiguration,
	change: ConfigurationChange,
): FleetConfiguration {
	if (change.version !== configuration.version + 1) {
		throw new ProblemError(
			'invalid-configuration',
			`change ${change.version} does not follow version ${configuration.version}`,
			{field: 'version'},
		);
	}

	const values = new Map(configuration.values);
	const exceptions = new Map(configuration.exceptions);
	for (const edit of change.edits) {
		applyEdit(values, exceptions, edit, change.version);
	}

	return {version: change.version, values, exceptions};
}

function applyEdit(
	values: Map<string, SettingValue>,
	exceptions: Map<string, ConfigurationException>,
	edit: ConfigurationEdit,
	version: number,
): void {
	switch (edit.op) {
		case 'set': {
			values.set(edit.key, edit.value);
			break;
		}

		case 'unset': {
			values.delete(edit.key);
			break;
		}

		case 'except': {
			const {scope, key, value, reason} = edit;
			exceptions.set(`${scope} ${key}`, {
				scope,
				key,
				value,
				reason,
				sinceVersion: version,
			});
			break;
		}

		case 'unexcept': {
			exceptions.delete(`${edit.scope} ${edit.key}`);
			break;
		}
	}
}

/**
 * Value in force for a key.
 * @param scopes - scopes that apply, the most specific first
 */
export function settingInForce(
	configuration: FleetConfiguration,
	key: string,
	scopes: readonly ExceptionScope[] = [],
): SettingValue {
	for (const scope of scopes) {
		const exception = configuration.exceptions.get(`${scope} ${key}`);
		if (exception) {
			return exception.value;
		}
	}

	return configuration.values.get(key) ?? settingSchemas[key].defaultValue;
}

/** Settings in force for a client account and class. */
export function effectiveSettings(
	configuration: FleetConfiguration,
	account: string,
	requestClass: string,
): EffectiveSettings {
	const scopes: ExceptionScope[] = [
		`account:${account}`,
		`class:${requestClass}`,
	];
	const section = (prefix: string) =>
		Object.fromEntries(
			Object.keys(settingSchemas)
				.filter((key) => key.startsWith(prefix))
				.map((key) => [
					key.slice(prefix.length),
					settingInForce(configuration, key, scopes),
				]),
		);
	return {
		contract: section('contract.') as Contract,
		classSettings: section('class.') as ClassSettings,
		weights: section('weights.') as CostWeights,
	};
}

/** Targets that the configuration describes. */
export function targetsOf(
	configuration: FleetConfiguration,
): ReadonlyMap<string, TargetDescription> {
	const targets = new Map<string, TargetDescription>();
	for (const [key, value] of configuration.values) {
		if (key.startsWith(targetPrefix)) {
			const id = key.slice(targetPrefix.length);
			targets.set(id, {...(value as Omit<TargetDescription, 'id'>), id});
		}
	}

	return targets;
}
