import * as z from 'zod';
import {ProblemError} from '../../common/index.js';
import {evacuationListSchema} from './relayed-evacuations.js';
import {
	decodeRelayedRow,
	encodeRelayedRow,
	type RelayedRow,
	relayedRowSchema,
} from './relayed-rows.js';
import type {EvacuationList} from './zone-evacuations.js';

/** The tables that a VM has read from the store, for a peer that can't reach it. */
export type RelayedTables = {
	/** Value of the operator's row in the store, which holds the configuration. */
	readonly configuration: string;
	/** Version of the operator's table up to which the configuration includes every change. */
	readonly configurationVersion: number;
	readonly targets: readonly RelayedRow[];
	/** Version of the targets table. */
	readonly targetsVersion: number;
	/** Undefined from a VM that does not read evacuations. */
	readonly evacuations: EvacuationList | undefined;
};

const tablesSchema = z.object({
	configuration: z.string(),
	configurationVersion: z.number(),
	targets: z.array(relayedRowSchema),
	targetsVersion: z.number(),
	evacuations: evacuationListSchema.optional(),
});

/** Encodes tables for transmission. */
export function encodeRelayedTables(
	tables: RelayedTables,
): z.infer<typeof tablesSchema> {
	return {
		...tables,
		targets: tables.targets.map((row) => encodeRelayedRow(row)),
	};
}

/** @throws ProblemError `peer-protocol` if the value does not match the schema */
export function decodeRelayedTables(value: unknown): RelayedTables {
	const {success, data} = tablesSchema.safeParse(value);
	if (!success) {
		throw new ProblemError(
			'peer-protocol',
			'tables of a peer do not match the schema',
		);
	}

	return {
		...data,
		evacuations: data.evacuations,
		targets: data.targets.map((row) => decodeRelayedRow(row)),
	};
}

/** State by which `shouldReadFromPeer` decides. */
export type PeerReadInputs = {
	/** True while this VM can't read a table of the store. */
	readonly isStoreLost: boolean;
	/** True once this VM knows the targets. */
	readonly hasTargets: boolean;
	/** Version of the operator's table up to which this VM knows every change; 0 if none. */
	readonly ownTableVersion: number;
	/** Version of the newest change of the operator's table that the peer knows; 0 if none. */
	readonly peerChangeVersion: number;
	/**
	 * True if a read of the store has failed since a peer first announced a newer version, or if this VM
	 * knows no targets yet.
	 */
	readonly hasTriedStore: boolean;
	/** Time since the last read from a peer, in milliseconds. */
	readonly sinceLastRequestMs: number;
};

/** Shortest time between two reads from peers, in milliseconds. */
const minReadIntervalMs = 500;

/**
 * Decides whether to read the tables from a peer that has just announced its versions. This covers VMs
 * that start, or miss a change of the configuration, while they can't reach the store: they would
 * refuse callers although their peers have the tables.
 */
export function shouldReadFromPeer(inputs: PeerReadInputs): boolean {
	// After an outage the store can serve all VMs at once, but the network link of a single peer can't.
	if (!inputs.isStoreLost || !inputs.hasTriedStore) {
		return false;
	}

	if (inputs.sinceLastRequestMs < minReadIntervalMs) {
		return false;
	}

	return (
		inputs.peerChangeVersion > inputs.ownTableVersion ||
		(!inputs.hasTargets && inputs.peerChangeVersion > 0)
	);
}
