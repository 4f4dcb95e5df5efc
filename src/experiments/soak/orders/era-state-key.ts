import type {PeerTableStates} from '../../../decisions/fleet/index.js';
import type {StoreSide} from './era-scenarios.js';

/** Identifies what a VM knows of the tables, apart from the time of the confirmation. */
export const tableStatesKey = ({
	configuration,
	targets,
	operatorVersion,
}: PeerTableStates): string =>
	JSON.stringify([
		configuration.revision,
		configuration.changeVersion,
		targets.revision,
		targets.changeVersion,
		operatorVersion,
	]);

/** Identifies the state of a VM, as far as it decides how the VM behaves later. */
export const sideKey = (side: StoreSide): string =>
	[
		tableStatesKey(side.tableStates()),
		side.watch.configurationVersion,
		JSON.stringify(side.watch.tables()?.evacuations),
		JSON.stringify(side.directory.rows()),
		JSON.stringify(side.directory.heldDepartures()),
	].join('|');
