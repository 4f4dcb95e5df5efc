import type {AvoidedTargets} from '../../decisions/fleet-health/index.js';
import type {EvacuatedZones} from '../../decisions/target-eligibility/index.js';

/** A running front daemon. */
export type FrontDaemon = {
	readonly evacuatedZones: EvacuatedZones;
	readonly avoidedTargets: Pick<AvoidedTargets, 'isAvoided'>;
	/** Reads the boot file again. */
	reload(): void;
	/** Logs an unhandled error; the process goes on. */
	reportUnexpected(error: unknown): void;
	/**
	 * Reports this VM as not ready, waits for the open requests within the grace time, and closes all
	 * servers.
	 */
	stop(): Promise<void>;
};
