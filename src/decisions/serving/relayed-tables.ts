import * as z from 'zod';
import {
	isNewerRevision,
	ProblemError,
	type StoreRevision,
} from '../../common/index.js';
import {
	decodeEvacuationList,
	encodeEvacuationList,
	evacuationListSchema,
} from './relayed-evacuations.js';
import {
	decodeRelayedRow,
	encodeRelayedRow,
	type RelayedRow,
	relayedRowSchema,
} from './relayed-rows.js';
import type {HeldDeparture} from './target-row-history.js';
import type {EvacuationList} from './zone-evacuations.js';

/** The tables that a VM has read from the store, for a peer that can't reach it. */
export type RelayedTables = {
	/** Value of the operator's row in the store, which holds the configuration. */
	readonly configuration: string;
	/** Revision of the operator's table up to which the configuration includes every change. */
	readonly configurationRevision: StoreRevision;
	readonly targets: readonly RelayedRow[];
	/** Revision of the targets table. */
	readonly targetsRevision: StoreRevision;
	/** Undefined from a VM that does not read evacuations. */
	readonly evacuations: EvacuationList | undefined;
	/** Targets that have left although an older copy of the store may list them. */
	readonly departures: readonly HeldDeparture[];
};

/** Encoded departure: target id, start time or null, and the version and era after which it may return. */
const departureSchema = z.tuple([
	z.string(),
	z.number().nullable(),
	z.number(),
	z.number(),
]);

const encodeDeparture = ({
	targetId,
	bornMs,
	returnAfter: {version, era},
}: HeldDeparture): z.infer<typeof departureSchema> => [
	targetId,
	bornMs ?? null,
	version,
	era,
];

const decodeDeparture = ([targetId, bornMs, version, era]: z.infer<
	typeof departureSchema
>): HeldDeparture => ({
	targetId,
	bornMs: bornMs ?? undefined,
	returnAfter: {version, era},
});

const tablesSchema = z.object({
	configuration: z.string(),
	configurationVersion: z.number(),
	configurationEra: z.number().default(0),
	targets: z.array(relayedRowSchema),
	targetsVersion: z.number(),
	targetsEra: z.number().default(0),
	evacuations: evacuationListSchema.optional(),
	departures: z.array(departureSchema).default([]),
});

/** Encodes tables for transmission. */
export function encodeRelayedTables(
	tables: RelayedTables,
): z.infer<typeof tablesSchema> {
	const {configurationRevision, targetsRevision, evacuations} = tables;
	return {
		configuration: tables.configuration,
		configurationVersion: configurationRevision.version,
		configurationEra: configurationRevision.era,
		targets: tables.targets.map((row) =>
			encodeRelayedRow(inEra(row, targetsRevision.era)),
		),
		targetsVersion: targetsRevision.version,
		targetsEra: targetsRevision.era,
		evacuations: evacuations && encodeEvacuationList(evacuations),
		departures: tables.departures.map((departure) =>
			encodeDeparture(departure),
		),
	};
}

/**
 * Rows are sent without their era. One that was last written in an earlier era precedes all that were written
 * in this one.
 */
function inEra(row: RelayedRow, era: number): RelayedRow {
	return row.revision.era === era ? row : {...row, revision: {era, version: 0}};
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

	const {configuration, targetsEra, evacuations} = data;
	return {
		configuration,
		configurationRevision: {
			era: data.configurationEra,
			version: data.configurationVersion,
		},
		targets: data.targets.map((row) => decodeRelayedRow(row, targetsEra)),
		targetsRevision: {era: targetsEra, version: data.targetsVersion},
		evacuations: evacuations && decodeEvacuationList(evacuations),
		departures: data.departures.map((departure) => decodeDeparture(departure)),
	};
}

/** State by which `shouldReadFromPeer` decides. */
export type PeerReadInputs = {
	/** True while this VM can't read a table of the store. */
	readonly isStoreLost: boolean;
	/** True once this VM knows the targets. */
	readonly hasTargets: boolean;
	/** Revision of the operator's table up to which this VM knows every change; version 0 if none. */
	readonly ownTableRevision: StoreRevision;
	/** Revision of the newest change of the operator's table that the peer knows; version 0 if none. */
	readonly peerChangeRevision: StoreRevision;
	/**
	 * True if a read of the store has failed since a peer first announced a newer version, or if this VM
	 * knows no targets yet.
	 */
	readonly hasTriedStore: boolean;
	/**
	 * True if the store may lack what the peer knows: it has been restored from an older copy, and this VM has
	 * started from that copy or does not find in it the version of the configuration that the peer has in force.
	 */
	readonly isStoreIncomplete: boolean;
	/** Time since the last read from a peer, in milliseconds. */
	readonly sinceLastRequestMs: number;
};

/** Shortest time between two reads from peers, in milliseconds. */
const minReadIntervalMs = 500;
/** Shortest time between two reads because of an incomplete store, in milliseconds. */
const minComparisonIntervalMs = 1500;

/**
 * Decides whether to read the tables from a peer that has just announced its versions. This covers VMs
 * that start, or miss a change of the configuration, while they can't reach the store: they would
 * refuse callers although their peers have the tables.
 */
export function shouldReadFromPeer(inputs: PeerReadInputs): boolean {
	if (inputs.isStoreIncomplete) {
		return inputs.sinceLastRequestMs >= minComparisonIntervalMs;
	}

	// After an outage the store can serve all VMs at once, but the network link of a single peer can't.
	if (!inputs.isStoreLost || !inputs.hasTriedStore) {
		return false;
	}

	if (inputs.sinceLastRequestMs < minReadIntervalMs) {
		return false;
	}

	return (
		isNewerRevision(inputs.peerChangeRevision, inputs.ownTableRevision) ||
		(!inputs.hasTargets && inputs.peerChangeRevision.version > 0)
	);
}
