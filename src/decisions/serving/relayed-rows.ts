import * as z from 'zod';
import {isSocketAddress, type TargetEntry} from '../../common/index.js';

/** A row of the targets table as another VM read it from the store. */
export type RelayedRow = {
	readonly targetId: string;
	/** Version of the table at which the row had this state: that of its last change, or of the whole table. */
	readonly version: number;
	/** Undefined if the row was removed or could not be decoded. */
	readonly entry: TargetEntry | undefined;
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
/** Encoded row: id, version, and the entry or null. */
export const relayedRowSchema = z.tuple([
	z.string(),
	z.number(),
	entrySchema.nullable(),
]);
const rowsSchema = z.object({
	after: z.number(),
	version: z.number(),
	rows: z.array(relayedRowSchema),
});

/** Changes of the targets table, as a reader of the store relays them to the other VMs. */
export type RelayedRows = {
	/** Version up to which the receiver must already know every change. */
	readonly afterVersion: number;
	/** Version up to which the receiver knows every change after applying the rows. */
	readonly version: number;
	readonly rows: readonly RelayedRow[];
};

/** Largest number of rows in one datagram; more would need too many IP fragments. */
const maxRowsPerMessage = 30;

/** Encodes a row for transmission. */
export function encodeRelayedRow({
	targetId,
	version,
	entry,
}: RelayedRow): z.infer<typeof relayedRowSchema> {
	return [targetId, version, entry ?? null];
}

/** Decodes a received row. */
export function decodeRelayedRow([targetId, version, entry]: z.infer<
	typeof relayedRowSchema
>): RelayedRow {
	return {
		targetId,
		version,
		entry:
			entry && isSocketAddress(entry.address)
				? {...entry, bornMs: entry.bornMs}
				: undefined,
	};
}

/** Encodes changes for datagrams. The rows must be in the order of their versions. */
export function encodeRelayedRows(changes: RelayedRows): string[] {
	const {rows} = changes;
	const messages: string[] = [];
	let after = changes.afterVersion;
	for (let start = 0; start < rows.length; start += maxRowsPerMessage) {
		const chunk = rows.slice(start, start + maxRowsPerMessage);
		const isLast = start + maxRowsPerMessage >= rows.length;
		const version = isLast ? changes.version : (chunk.at(-1)?.version ?? after);
		messages.push(
			JSON.stringify({
				after,
				version,
				rows: chunk.map((row) => encodeRelayedRow(row)),
			}),
		);
		after = version;
	}

	return messages;
}

/** @returns undefined if the value is not an encoded message with rows */
export function decodeRelayedRows(value: unknown): RelayedRows | undefined {
	const {success, data} = rowsSchema.safeParse(value);
	return success
		? {
				afterVersion: data.after,
				version: data.version,
				rows: data.rows.map((row) => decodeRelayedRow(row)),
			}
		: undefined;
}
