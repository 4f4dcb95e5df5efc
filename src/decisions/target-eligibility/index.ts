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
