import {
	type FleetConfiguration,
	effectiveSetting,
} from '../configuration/index.js';
import type {ModelSettings, PlacementSettings} from './placement/index.js';
import type {LeaseSettings} from './types.js';
import type {WeightBudgetSettings} from './weight-budget.js';

/** Settings of leases, model placement and the weight store. */
export type OrderSettings = {
	readonly lease: LeaseSettings;
	readonly placement: PlacementSettings;
	readonly weights: WeightBudgetSettings;
	readonly candidatesPerTarget: number;
	readonly models: ReadonlyMap<string, ModelSettings>;
};

const modelPrefix = 'model.';

// The renewal interval is at most this fraction of the duration, so that a lease survives one failed
// renewal.
const maxRenewalFraction = 1 / 3;

// Load reports are read every few seconds. A target without one for this long has missed several and
// is not counted as live.
const staleAfterMs = 15_000;

/**
 * Reads the settings in force. Limits that depend on each other are enforced here: the renewal
 * interval against the duration, and `shrinkAtLoad` against `growAtLoad`.
 */
export function orderSettingsOf(
	configuration: FleetConfiguration,
): OrderSettings {
	const number = (key: string) =>
		effectiveSetting(configuration, key) as number;
	const durationMs = number('lease.durationMs');
	const growAtLoad = number('placement.growAtLoad');
	const models = [...configuration.values]
		.filter(([key]) => key.startsWith(modelPrefix))
		.map(
			([key, value]) =>
				[
					key.slice(modelPrefix.length),
					value as unknown as ModelSettings,
				] as const,
		);
	return {
		lease: {
			durationMs,
			renewalMs: Math.min(
				number('lease.renewalMs'),
				durationMs * maxRenewalFraction,
			),
			resendMs: number('lease.resendMs'),
			lateCopyMs: number('lease.lateCopyMs'),
		},
		placement: {
			growAtLoad,
			shrinkAtLoad: Math.min(number('placement.shrinkAtLoad'), growAtLoad),
			minDwellMs: number('placement.minDwellMs'),
			stepInMs: number('placement.stepInMs'),
			staleAfterMs,
		},
		weights: {
			bytesPerSecond: number('weightStore.bytesPerSecond'),
			burstBytes: number('weightStore.burstBytes'),
		},
		candidatesPerTarget: number('lease.candidatesPerTarget'),
		models: new Map(models),
	};
}
