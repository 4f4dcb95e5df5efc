import type {FleetClient} from './fleet-client.js';
import type {Output} from './output.js';

/** Flags of `cowslipctl` that the commands read themselves; all commands accept them. */
export type ControlFlags = {
	readonly author: string;
	/** Configuration version that a change is based on; the latest if undefined. */
	readonly baseVersion: number | undefined;
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
};

/** Passed to every command: access to the fleet, the output, and the shared flags. */
export type ControlContext = {
	readonly fleet: FleetClient;
	readonly output: Output;
	readonly flags: ControlFlags;
};
