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

// A lease must survive one failed renewal.
const maxRenewalShare = 1 / 3;

// Load reports are read every few seconds; a target that missed several is not counted on.
const staleAfterMs = 15_000;

/** Settings in force. */
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
				durationMs * maxRenewalShare,
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
