import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type ServingBounds,
	type VmSettings,
} from '../../common/index.js';
import type {
	ConfigurationState,
	TargetDirectory,
} from '../../decisions/serving/index.js';
import {
	coldRuleOf,
	type ColdTargets,
	createColdTargets,
	createEvacuatedZones,
	createTargetEligibility,
	type EvacuatedZones,
	type TargetEligibility,
} from '../../decisions/target-eligibility/index.js';
import {
	createTargetStatements,
	type TargetStatements,
} from '../../decisions/target-statements/index.js';

export type FrontEligibilityOptions = {
	readonly clock: Clock;
	readonly directory: Pick<TargetDirectory, 'all' | 'get'>;
	readonly configuration: Pick<ConfigurationState, 'current'>;
	/** Bounds in force; they change when the boot file is reloaded. */
	readonly bounds: () => ServingBounds;
	readonly vm: Pick<VmSettings, 'heartbeatMs' | 'regions'>;
};

/** What decides to which targets this VM may send requests. */
export type FrontEligibility = Disposable & {
	readonly statements: TargetStatements;
	readonly evacuatedZones: EvacuatedZones;
	readonly coldTargets: ColdTargets;
	readonly eligibility: TargetEligibility;
};

/**
 * Time for which a target that says that it leaves is still used if its service has no other, as a fraction of
 * `drainMs`; the rest covers requests that have waited.
 */
const lastResortFraction = 0.5;
/** Time after which a row that a target has written is known to all VMs, in milliseconds. */
const rowPropagationMs = 800;

/** Creates the eligibility of targets from the state of the deployment. */
export function createFrontEligibility({
	clock,
	directory,
	configuration,
	bounds,
	vm,
}: FrontEligibilityOptions): FrontEligibility {
	const owned = createDisposableStore();
	const statements = owned.add(
		createTargetStatements({
			clock,
			lastResortMs: () => bounds().drainMs * lastResortFraction,
		}),
	);
	const evacuatedZones = owned.add(createEvacuatedZones());
	const coldTargets = owned.add(
		createColdTargets({
			clock,
			*entries() {
				for (const {entry} of directory.all()) {
					yield entry;
				}
			},
			entryOf: (targetId) => directory.get(targetId)?.entry,
			ruleOf: (service) =>
				coldRuleOf(configuration.current?.services.get(service), bounds()),
			rowDelayMs: vm.heartbeatMs + rowPropagationMs,
		}),
	);
	const eligibility = createTargetEligibility({
		statements,
		evacuatedZones,
		coldTargets,
		regions: vm.regions,
	});
	return {
		statements,
		evacuatedZones,
		coldTargets,
		eligibility,
		dispose() {
			owned.dispose();
		},
	};
}
