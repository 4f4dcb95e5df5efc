import type {FleetClient} from './fleet-client.js';
import type {Output} from './output.js';

/** Flags that every command of `cowslipctl` shares. */
export type ControlFlags = {
	readonly author: string;
	readonly baseVersion: number | undefined;
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
};

/** What a command works with. */
export type ControlContext = {
	readonly fleet: FleetClient;
	readonly output: Output;
	readonly flags: ControlFlags;
};
