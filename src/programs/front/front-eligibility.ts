import {
	type Clock,
	createDisposableStore,
	type Disposable,
	type ServingBounds,
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
import type {TargetStatements} from '../../decisions/target-statements/index.js';

export type FrontEligibilityOptions = {
	readonly clock: Clock;
	readonly statements: TargetStatements;
	readonly directory: Pick<TargetDirectory, 'all' | 'get'>;
	readonly configuration: Pick<ConfigurationState, 'current'>;
	/** Bounds in force; they change when the boot file is reloaded. */
	readonly bounds: () => ServingBounds;
	/** Interval at which targets renew their rows, in milliseconds. */
	readonly heartbeatMs: number;
};

/** What decides to which targets this VM may send requests. */
export type FrontEligibility = Disposable & {
	readonly evacuatedZones: EvacuatedZones;
	readonly coldTargets: ColdTargets;
	readonly eligibility: TargetEligibility;
};

/** Time after which a row that a target has written is known to all VMs, in milliseconds. */
const rowPropagationMs = 800;

/** Creates the eligibility of targets from the state of the deployment. */
export function createFrontEligibility({
	clock,
	statements,
	directory,
	configuration,
	bounds,
	heartbeatMs,
}: FrontEligibilityOptions): FrontEligibility {
	const owned = createDisposableStore();
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
			rowDelayMs: heartbeatMs + rowPropagationMs,
		}),
	);
	const eligibility = createTargetEligibility({
		statements,
		evacuatedZones,
		coldTargets,
	});
	return {
		evacuatedZones,
		coldTargets,
		eligibility,
		dispose() {
			owned.dispose();
		},
	};
}
