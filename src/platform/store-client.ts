import {Buffer} from 'node:buffer';
import type {Agent as UndiciAgent} from 'undici';
import * as z from 'zod';
import {Agent} from '../adapters/http-client/index.js';
import {
	ProblemError,
	RowStore,
	type RowChange,
	type TableChanges,
	type TableSnapshot,
} from '../common/index.js';
import {decode, parseJson} from './decode.js';
import {type HttpCallResponse, makeHttpCall} from './http-call.js';
import {storePaths} from './wire-names.js';

/** How the store is reached. */
export type StoreClientOptions = {
	/** `address:port`. */
	readonly address: string;
	/** Time in which an answer must come, beyond any wait that was asked for, in milliseconds. */
	readonly timeoutMs: number;
};

const rowSchema = z.object({
	key: z.string(),
	value: z.string().optional(),
	ver: z.number(),
	tombstone: z.boolean().optional(),
});
const answerSchema = z.object({
	rows: z.array(rowSchema),
	ver: z.number(),
	more_pages: z.boolean().optional(),
});

const goneStatus = 410;
/** A page of rows, or a row of the largest size, has about 1 MB; in base64 and JSON a third more. */
const maxResponseBytes = 16_777_216;
const okStatus = 200;
/** Statuses with which the store promises that nothing was done. */
const refusedStatuses: ReadonlySet<number> = new Set([403, 412, 429, 503, 507]);

function decodeValue(row: z.infer<typeof rowSchema>): Uint8Array | undefined {
	return row.tombstone === true || row.value === undefined
		? undefined
		: Buffer.from(row.value, 'base64');
}

/** Client of the platform's store. */
export class StoreClient extends RowStore {
	private readonly agent: UndiciAgent;

	constructor(private readonly options: StoreClientOptions) {
		super();
		this.agent = new Agent({
			connect: {timeout: options.timeoutMs, keepAliveInitialDelay: 1000},
			keepAliveTimeout: 10_000,
			pipelining: 1,
		});
	}

	override async snapshot(table: string): Promise<TableSnapshot> {
		const rows: Array<{key: string; value: Uint8Array; version: number}> = [];
		let version = 0;
		let from = '';
		for (;;) {
			const query = `table=${encodeURIComponent(table)}&part=${from}`;
			const page = await this.read(`${storePaths.read}?${query}`, 0);
			// Changes follow from the oldest page, so that none between two pages is missed.
			version = version === 0 ? page.ver : Math.min(version, page.ver);
			for (const row of page.rows) {
				const value = decodeValue(row);
				if (value) {
					rows.push({key: row.key, value, version: row.ver});
				}
			}

			const last = page.rows.at(-1);
			if (!page.more_pages || !last) {
				return {rows, version};
			}

			// The smallest key after the last one.
			from = `&from=${encodeURIComponent(`${last.key}\0`)}`;
		}
	}

	override async changes(
		table: string,
		afterVersion: number,
		waitMs: number,
	): Promise<TableChanges> {
		const query = `table=${encodeURIComponent(table)}&after_rev=${afterVersion}&wait_ms=${waitMs}`;
		const answer = await this.read(`${storePaths.follow}?${query}`, waitMs);
		const changes = answer.rows.map((row): RowChange => ({
			key: row.key,
			value: decodeValue(row),
			version: row.ver,
		}));
		return {changes, version: answer.ver};
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
				refusedStatuses.has(status)
					? 'table-unavailable'
					: 'table-outcome-unknown',
				`the store answered a write with status ${status}`,
			);
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.agent.destroy();
	}

	private async read(path: string, waitMs: number) {
		const {status, text} = await this.call('GET', path, undefined, waitMs);
		if (status === goneStatus) {
			throw new ProblemError(
				'table-history-lost',
				'the store has dropped the changes asked for',
			);
		}

		if (status !== okStatus) {
			throw new ProblemError(
				'table-unavailable',
				`the store answered a read with status ${status}`,
			);
		}

		const what = 'the answer of the store';
		const problem = 'table-unavailable';
		return decode(answerSchema, parseJson(text, what, problem), what, problem);
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
