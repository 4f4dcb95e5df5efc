export {
	createEvacuatedZones,
	type EvacuatedZones,
	type ZoneEvacuationChange,
} from './evacuated-zones.js';
