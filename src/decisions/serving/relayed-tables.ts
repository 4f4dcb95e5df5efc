import * as z from 'zod';
import {ProblemError} from '../../common/index.js';
import {
	decodeRelayedRow,
	encodeRelayedRow,
	type RelayedRow,
	relayedRowSchema,
} from './relayed-rows.js';

/** What a VM has read from the store, for a peer that cannot. */
export type RelayedTables = {
	/** The operator's row as the store has it. */
	readonly configuration: string;
	/** Version of the operator's table up to which every change is known with it. */
	readonly configurationVersion: number;
	readonly targets: readonly RelayedRow[];
	/** Version of the targets' table. */
	readonly targetsVersion: number;
};

const tablesSchema = z.object({
	configuration: z.string(),
	configurationVersion: z.number(),
	targets: z.array(relayedRowSchema),
	targetsVersion: z.number(),
});

/** Form in which tables travel. */
export function encodeRelayedTables(
	tables: RelayedTables,
): z.infer<typeof tablesSchema> {
	return {
		...tables,
		targets: tables.targets.map((row) => encodeRelayedRow(row)),
	};
}

/** @throws ProblemError `peer-protocol` */
export function decodeRelayedTables(value: unknown): RelayedTables {
	const {success, data} = tablesSchema.safeParse(value);
	if (!success) {
		throw new ProblemError(
			'peer-protocol',
			'a peer told of tables in another form',
		);
	}

	return {...data, targets: data.targets.map((row) => decodeRelayedRow(row))};
}

/** What decides whether a peer is asked. */
export type PeerReadInputs = {
	/** True while a table of the store cannot be read from here. */
	readonly isStoreLost: boolean;
	/** True once the targets are known. */
	readonly hasTargets: boolean;
	/** Version of the configuration in force here; 0 if none is. */
	readonly ownVersion: number;
	readonly peerChangeVersion: number;
	/** True if the store was asked in vain since a peer first told of what is missing here. */
	readonly hasTriedStore: boolean;
	/** Time since a peer was asked, in milliseconds. */
	readonly sinceLastRequestMs: number;
};

const minAskIntervalMs = 500;

/**
 * Decides whether a peer that was just heard is asked for its tables. Answers the pattern "VMs start,
 * or the configuration changes, while some or all cannot reach the store": they would refuse callers
 * although their neighbours know what they need.
 */
export function shouldReadFromPeer(inputs: PeerReadInputs): boolean {
	// After an outage the store answers all at once; one peer has too small a link for that.
	if (!inputs.isStoreLost || !inputs.hasTriedStore) {
		return false;
	}

	if (inputs.sinceLastRequestMs < minAskIntervalMs) {
		return false;
	}

	return (
		inputs.peerChangeVersion > inputs.ownVersion ||
		(!inputs.hasTargets && inputs.peerChangeVersion > 0)
	);
}
