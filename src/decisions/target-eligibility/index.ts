export {type AllowedRegions, allowedRegionsOf} from './allowed-regions.js';
export {coldRuleOf} from './cold-rule.js';
export {
	type ColdChange,
	type ColdRule,
	type ColdTargets,
	createColdTargets,
} from './cold-targets.js';
export {
	createEvacuatedZones,
	type EvacuatedZones,
	type ZoneEvacuationChange,
} from './evacuated-zones.js';
export {
	createTargetEligibility,
	type TargetEligibility,
	type TargetEligibilityOptions,
} from './target-eligibility.js';
