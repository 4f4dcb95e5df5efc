import * as z from 'zod';
import {
	isSocketAddress,
	type StoreRevision,
	type TargetEntry,
} from '../../common/index.js';

/** A row of the targets table as another VM read it from the store. */
export type RelayedRow = {
	readonly targetId: string;
	/** Revision of the last write of the row, as far as known. */
	readonly revision: StoreRevision;
	/** Undefined if the row was removed, or is invalid. */
	readonly entry: TargetEntry | undefined;
	/** True for a row that could not be decoded. */
	readonly isInvalid: boolean;
};

const entrySchema = z.object({
	id: z.string(),
	service: z.string(),
	address: z.string(),
	availabilityZone: z.string(),
	slotCount: z.number(),
	state: z.enum(['ready', 'draining']),
	warmingMs: z.number(),
	bornMs: z.number().optional(),
});
/** Encoded row: id, version, and the entry, null for a removed row, or false for an invalid one. */
export const relayedRowSchema = z.tuple([
	z.string(),
	z.number(),
	z.union([entrySchema, z.null(), z.literal(false)]),
]);
const rowsSchema = z.object({
	after: z.number(),
	afterEra: z.number().default(0),
	version: z.number(),
	/** Also the era of the rows. */
	era: z.number().default(0),
	rows: z.array(relayedRowSchema),
});

/** Changes of the targets table, as a reader of the store relays them to the other VMs. */
export type RelayedRows = {
	/** Revision up to which the receiver must already know every change. */
	readonly after: StoreRevision;
	/** Revision up to which the receiver knows every change after applying the rows, all of the same era. */
	readonly revision: StoreRevision;
	readonly rows: readonly RelayedRow[];
};

/** Largest number of rows in one datagram; more would need too many IP fragments. */
const maxRowsPerMessage = 30;

/** Encodes a row for transmission. */
export function encodeRelayedRow({
	targetId,
	revision,
	entry,
	isInvalid,
}: RelayedRow): z.infer<typeof relayedRowSchema> {
	return [targetId, revision.version, isInvalid ? false : (entry ?? null)];
}

/**
 * Decodes a received row.
 * @param era - era of the message
 */
export function decodeRelayedRow(
	[targetId, version, entry]: z.infer<typeof relayedRowSchema>,
	era: number,
): RelayedRow {
	const isValid = entry && isSocketAddress(entry.address);
	return {
		targetId,
		revision: {era, version},
		entry: isValid ? {...entry, bornMs: entry.bornMs} : undefined,
		isInvalid: entry !== null && !isValid,
	};
}

/** Encodes changes for datagrams. The rows must be in the order of their versions. */
export function encodeRelayedRows(changes: RelayedRows): string[] {
	const {rows, revision} = changes;
	const messages: string[] = [];
	let {after} = changes;
	for (let start = 0; start < rows.length; start += maxRowsPerMessage) {
		const chunk = rows.slice(start, start + maxRowsPerMessage);
		const isLast = start + maxRowsPerMessage >= rows.length;
		const upTo = isLast ? revision : (chunk.at(-1)?.revision ?? after);
		messages.push(
			JSON.stringify({
				after: after.version,
				afterEra: after.era,
				version: upTo.version,
				era: upTo.era,
				rows: chunk.map((row) => encodeRelayedRow(row)),
			}),
		);
		after = upTo;
	}

	return messages;
}

/** @returns undefined if the value is not an encoded message with rows */
export function decodeRelayedRows(value: unknown): RelayedRows | undefined {
	const {success, data} = rowsSchema.safeParse(value);
	return success
		? {
				after: {era: data.afterEra, version: data.after},
				revision: {era: data.era, version: data.version},
				rows: data.rows.map((row) => decodeRelayedRow(row, data.era)),
			}
		: undefined;
}
