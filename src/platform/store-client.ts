import {Buffer} from 'node:buffer';
import type {Agent as UndiciAgent} from 'undici';
import * as z from 'zod';
import {Agent} from '../adapters/http-client/index.js';
import {
	ProblemError,
	RowStore,
	type StoredRow,
	type RowChange,
	type TableChanges,
	type TableSnapshot,
} from '../common/index.js';
import {decode, parseJson} from './decode.js';
import {type HttpCallResponse, makeHttpCall} from './http-call.js';
import {headerNames, storePaths} from './wire-names.js';

export type StoreClientOptions = {
	/** `address:port`. */
	readonly address: string;
	/** Response timeout, in addition to the wait time of long polling, in milliseconds. */
	readonly timeoutMs: number;
	/** Called with the first value of the era header that is not an integer; such values count as absent. */
	readonly onMalformedEra?: (value: string) => void;
};

const rowSchema = z.object({
	key: z.string(),
	value: z.string().optional(),
	ver: z.number(),
	tombstone: z.boolean().optional(),
});
const responseSchema = z.object({
	rows: z.array(rowSchema),
	ver: z.number(),
	more_pages: z.boolean().optional(),
});

const goneStatus = 410;
/** A page of rows, or a row of the largest size, has about 1 MB; base64 and JSON add a third. The limit is far above. */
const maxResponseBytes = 16_777_216;
const okStatus = 200;
/** Statuses with which the store guarantees that a request had no effect. */
const noEffectStatuses: ReadonlySet<number> = new Set([
	403, 412, 429, 503, 507,
]);

const eraHeader = headerNames.storeEra.toLowerCase();
const eraPattern = /^\d{1,15}$/;

function decodeValue(row: z.infer<typeof rowSchema>): Uint8Array | undefined {
	return row.tombstone === true || row.value === undefined
		? undefined
		: Buffer.from(row.value, 'base64');
}

/** Client of the platform's store over HTTP. */
export class StoreClient extends RowStore {
	private readonly agent: UndiciAgent;
	private hasReportedEra = false;

	constructor(private readonly options: StoreClientOptions) {
		super();
		this.agent = new Agent({
			connect: {timeout: options.timeoutMs, keepAliveInitialDelay: 1000},
			keepAliveTimeout: 10_000,
			pipelining: 1,
		});
	}

	override async snapshot(table: string): Promise<TableSnapshot> {
		const rows: StoredRow[] = [];
		let firstEra: number | undefined;
		let version = Infinity;
		let fromQuery = '';
		for (;;) {
			// `part` is left empty; `fromQuery` adds the parameter that follows it.
			const query = `table=${encodeURIComponent(table)}&part=${fromQuery}`;
			const {era, ...page} = await this.read(`${storePaths.read}?${query}`, 0);
			firstEra ??= era;
			if (era !== firstEra) {
				throw new ProblemError(
					'table-history-lost',
					'the store was restored from a copy between two pages of a table',
				);
			}

			// Pages may have different versions. The lowest is kept, so that no change between two pages is
			// missed when the table is followed from it.
			version = Math.min(version, page.ver);
			for (const row of page.rows) {
				const value = decodeValue(row);
				if (value) {
					rows.push({
						key: row.key,
						value,
						revision: {era, version: row.ver},
					});
				}
			}

			const last = page.rows.at(-1);
			if (!page.more_pages || !last) {
				return {rows, revision: {era, version}};
			}

			// The smallest key greater than the last one.
			fromQuery = `&from=${encodeURIComponent(`${last.key}\0`)}`;
		}
	}

	override async changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges> {
		const query = `table=${encodeURIComponent(table)}&after_rev=${afterVersion}&wait_ms=${waitMs}`;
		const {era, rows, ver} = await this.read(
			`${storePaths.follow}?${query}`,
			waitMs,
		);
		const changes = rows.map((row): RowChange => ({
			key: row.key,
			value: decodeValue(row),
			revision: {era, version: row.ver},
		}));
		return {changes, revision: {era, version: ver}};
	}

	override async put(
		table: string,
		key: string,
		value: Uint8Array,
	): Promise<void> {
		const row = {
			table,
			part: '',
			key,
			value: Buffer.from(value).toString('base64'),
		};
		const body = JSON.stringify({expected_rev: [], writes: [row], remove: []});
		const {status} = await this.call('POST', storePaths.transact, body, 0);
		if (status !== okStatus) {
			throw new ProblemError(
				noEffectStatuses.has(status)
					? 'table-unavailable'
					: 'table-outcome-unknown',
				`the store answered a write with status ${status}`,
			);
		}
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async read(path: string, waitMs: number) {
		const {status, headers, text} = await this.call(
			'GET',
			path,
			undefined,
			waitMs,
		);
		if (status === goneStatus) {
			throw new ProblemError(
				'table-history-lost',
				'the store no longer has the requested changes',
			);
		}

		if (status !== okStatus) {
			throw new ProblemError(
				'table-unavailable',
				`the store answered a read with status ${status}`,
			);
		}

		const label = 'the response of the store';
		const problemType = 'table-unavailable';
		const response = decode(
			responseSchema,
			parseJson(text, label, problemType),
			label,
			problemType,
		);
		return {...response, era: this.decodeEra(headers[eraHeader])};
	}

	/** @returns 0 if the header is absent or malformed */
	private decodeEra(header: string | string[] | undefined): number {
		if (header === undefined) {
			return 0;
		}

		const text = String(header);
		if (eraPattern.test(text)) {
			return Number(text);
		}

		if (!this.hasReportedEra) {
			this.hasReportedEra = true;
			this.options.onMalformedEra?.(text);
		}

		return 0;
	}

	private async call(
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
		waitMs: number,
	): Promise<HttpCallResponse> {
		const timeoutMs = waitMs + this.options.timeoutMs;
		try {
			return await makeHttpCall(this.agent, {
				origin: `http://${this.options.address}`,
				method,
				path,
				body,
				timeoutMs,
				maxResponseBytes,
			});
		} catch (error) {
			throw new ProblemError(
				method === 'GET' ? 'table-unavailable' : 'table-outcome-unknown',
				'the store gave no answer',
				{cause: error as Error},
			);
		}
	}
}
