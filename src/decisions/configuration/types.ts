import type {
	Contract,
	ClassSettings,
	CostWeights,
	TargetDescription,
} from '../../common/index.js';

/** A value of the configuration as it is stored. */
export type SettingValue =
	number | string | boolean | Readonly<Record<string, unknown>>;

/** Client account, request class, availability zone or target that an exception applies to. */
export type ExceptionScope =
	| `account:${string}`
	| `class:${string}`
	| `zone:${string}`
	| `target:${string}`;

/** One edit of the configuration: sets or removes a value or an exception. */
export type ConfigurationEdit =
	| {readonly op: 'set'; readonly key: string; readonly value: SettingValue}
	| {readonly op: 'unset'; readonly key: string}
	| {
			readonly op: 'except';
			readonly scope: ExceptionScope;
			readonly key: string;
			readonly value: SettingValue;
			/** Written reason; an exception without one is rejected. */
			readonly reason: string;
	  }
	| {
			readonly op: 'unexcept';
			readonly scope: ExceptionScope;
			readonly key: string;
	  };

/** An accepted change: one version of the configuration. */
export type ConfigurationChange = {
	readonly version: number;
	/** Chosen by the author, which recognizes its own change by it when the response to a commit was lost. */
	readonly changeId: string;
	readonly author: string;
	readonly atWallMs: number;
	readonly edits: readonly ConfigurationEdit[];
};

/** A value that replaces the fleet-wide one for a scope. */
export type ConfigurationException = {
	readonly scope: ExceptionScope;
	readonly key: string;
	readonly value: SettingValue;
	readonly reason: string;
	readonly sinceVersion: number;
};

/** The configuration at one version. */
export type FleetConfiguration = {
	readonly version: number;
	readonly values: ReadonlyMap<string, SettingValue>;
	readonly exceptions: ReadonlyMap<string, ConfigurationException>;
};

/** Effective settings of one client account and class. */
export type EffectiveSettings = {
	readonly contract: Contract;
	readonly classSettings: ClassSettings;
	readonly weights: CostWeights;
};

/** Targets by id. */
export type TargetDirectory = ReadonlyMap<string, TargetDescription>;

/**
 * A safety check that a test can disable, to show that the soak scenarios detect its absence. `version-only-rises`:
 * a configuration with a lower version is not put in force; `change-id`: only a change with the proposal's own id
 * counts as committed; `head-version`: a commit requires an unchanged head and a free version; `table-confirms`:
 * a follower is caught up, and applies changes from peers, only after the table service has been read.
 */
export type ConfigurationCheck =
	'version-only-rises' | 'change-id' | 'head-version' | 'table-confirms';
