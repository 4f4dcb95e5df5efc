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
const rowsSchema = z.object({
	after: z.number(),
	version: z.number(),
	rows: z.array(relayedRowSchema),
});

/** Changes of the table of the targets, as a VM that reads the store tells others. */
export type RelayedRows = {
	/** Version up to which every change must be known already. */
	readonly afterVersion: number;
	/** Version up to which every change is known with these. */
	readonly version: number;
	readonly rows: readonly RelayedRow[];
};

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

/** Encodes changes for datagrams. The rows are in the order of their versions. */
export function encodeRelayedRows(changes: RelayedRows): string[] {
	const {rows} = changes;
	const messages: string[] = [];
	let after = changes.afterVersion;
	for (let start = 0; start < rows.length; start += maxRowsPerMessage) {
		const part = rows.slice(start, start + maxRowsPerMessage);
		const isLast = start + maxRowsPerMessage >= rows.length;
		const version = isLast ? changes.version : (part.at(-1)?.version ?? after);
		messages.push(
			JSON.stringify({
				after,
				version,
				rows: part.map((row) => encodeRelayedRow(row)),
			}),
		);
		after = version;
	}

	return messages;
}

/** @returns undefined if the value does not hold rows */
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
