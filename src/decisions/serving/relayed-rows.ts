import * as z from 'zod';
import type {TargetEntry} from '../../common/index.js';

/** A row of the table of the targets as a peer read it from the store. */
export type RelayedRow = {
	readonly targetId: string;
	/** Version of the row, or of the table at which it was missing. */
	readonly version: number;
	/** Undefined if the row is gone. */
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
/** A row as it travels: id, version, and the entry or null. */
export const relayedRowSchema = z.tuple([
	z.string(),
	z.number(),
	entrySchema.nullable(),
]);
const rowsSchema = z.object({rows: z.array(relayedRowSchema)});

/** Rows in one datagram; more would not fit the usual size of a packet train. */
const maxRowsPerMessage = 30;

/** Form in which a row travels. */
export function encodeRelayedRow({
	targetId,
	version,
	entry,
}: RelayedRow): z.infer<typeof relayedRowSchema> {
	return [targetId, version, entry ?? null];
}

/** The row that has travelled. */
export function decodeRelayedRow([targetId, version, entry]: z.infer<
	typeof relayedRowSchema
>): RelayedRow {
	return {
		targetId,
		version,
		entry: entry ? {...entry, bornMs: entry.bornMs} : undefined,
	};
}

/** Encodes rows for datagrams. */
export function encodeRelayedRows(rows: readonly RelayedRow[]): string[] {
	const messages: string[] = [];
	for (let start = 0; start < rows.length; start += maxRowsPerMessage) {
		const part = rows
			.slice(start, start + maxRowsPerMessage)
			.map((row) => encodeRelayedRow(row));
		messages.push(JSON.stringify({rows: part}));
	}

	return messages;
}

/** @returns undefined if the value does not hold rows */
export function decodeRelayedRows(
	value: unknown,
): readonly RelayedRow[] | undefined {
	const {success, data} = rowsSchema.safeParse(value);
	return success ? data.rows.map((row) => decodeRelayedRow(row)) : undefined;
}
