import {
	type ClassSettings,
	type Contract,
	type CostWeights,
	ProblemError,
	type TargetDescription,
} from '../../common/index.js';
import {
	checkSetting,
	checkStoredSetting,
	isKnownSetting,
	settingSchemas,
} from './setting-schemas.js';
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
const floorKey = 'contract.floorTokensPerMinute';
const ceilingKey = 'contract.ceilingTokensPerMinute';

/** The configuration before the first change. */
export const emptyConfiguration: FleetConfiguration = {
	version: 0,
	values: new Map(),
	exceptions: new Map(),
};

const maxReasonLength = 1000;

function invalid(field: string, message: string): ProblemError {
	return new ProblemError('invalid-configuration', message, {field});
}

function checkReason(reason: string): void {
	if (reason.trim() === '' || reason.length > maxReasonLength) {
		throw invalid(
			'reason',
			`an exception needs a written reason of at most ${maxReasonLength} characters`,
		);
	}
}

function checkScope(scope: string): void {
	if (!scopePattern.test(scope)) {
		throw invalid(
			'scope',
			`scope "${scope}" allows: account:NAME, class:NAME, zone:NAME or target:NAME`,
		);
	}
}

function checkKnown(key: string): void {
	if (!isKnownSetting(key)) {
		throw invalid(key, `setting "${key}" does not exist`);
	}
}

/**
 * Checks one edit.
 * @param isStored - whether the edit was accepted before, perhaps by a newer program
 * @returns the edit with checked values
 * @throws ProblemError `invalid-configuration`
 */
export function checkEdit(
	edit: ConfigurationEdit,
	isStored = false,
): ConfigurationEdit {
	const check = isStored ? checkStoredSetting : checkSetting;
	switch (edit.op) {
		case 'set': {
			return {...edit, value: check(edit.key, edit.value)};
		}

		case 'except': {
			checkReason(edit.reason);
			checkScope(edit.scope);
			return {...edit, value: check(edit.key, edit.value)};
		}

		case 'unset': {
			checkKnown(edit.key);
			return edit;
		}

		case 'unexcept': {
			checkScope(edit.scope);
			checkKnown(edit.key);
			return edit;
		}
	}
}

/**
 * Checks rules between settings.
 * @throws ProblemError `invalid-configuration` if a floor is above its ceiling
 */
export function checkConfiguration(configuration: FleetConfiguration): void {
	const scopes = new Set(
		[...configuration.exceptions.values()].map(({scope}) => scope),
	);
	for (const scope of [undefined, ...scopes]) {
		const applying = scope === undefined ? [] : [scope];
		const floor = effectiveSetting(configuration, floorKey, applying);
		const ceiling = effectiveSetting(configuration, ceilingKey, applying);
		if (floor > ceiling) {
			throw invalid(
				floorKey,
				`"${floorKey}" allows at most "${ceilingKey}" (${Number(ceiling)}) for ${scope ?? 'the fleet'}`,
			);
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
export function effectiveSetting(
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
					effectiveSetting(configuration, key, scopes),
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
