import {Buffer} from 'node:buffer';
import {
	type ConditionalResult,
	type ConditionalWrite,
	type ListOptions,
	ProblemError,
	type Row,
	TableService,
	toProblem,
} from '../../common/index.js';
import {callJson} from './http-json.js';

export type EtcdTableOptions = {
	/** Base URL of etcd's JSON gateway. */
	readonly url: string;
	/** Time after which a request fails, in milliseconds. */
	readonly timeoutMs: number;
};

type WireRow = {
	readonly key: string;
	readonly value?: string;
	readonly mod_revision: string;
};

type WireRange = {readonly kvs?: readonly WireRow[]};

type WireTransaction = {
	readonly responses?: ReadonlyArray<{
		readonly response_txn?: {
			readonly header?: {readonly revision: string};
			readonly succeeded?: boolean;
			readonly responses?: ReadonlyArray<{readonly response_range?: WireRange}>;
		};
	}>;
};

// Error codes of failed connection attempts: the request was not sent.
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const encode = (text: string) => Buffer.from(text, 'utf8').toString('base64');
const decode = (text: string) => Buffer.from(text, 'base64').toString('utf8');

function toRow(row: WireRow): Row {
	return {
		key: decode(row.key),
		value: decode(row.value ?? ''),
		version: Number(row.mod_revision),
	};
}

function toWireOperation(write: ConditionalWrite): Record<string, unknown> {
	return {
		request_txn: {
			compare: write.checks.map((check) => ({
				key: encode(check.key),
				target: 'MOD',
				result: 'EQUAL',
				mod_revision: String(check.version),
			})),
			success: write.writes.map(({key, value}) =>
				value === undefined
					? {request_delete_range: {key: encode(key)}}
					: {request_put: {key: encode(key), value: encode(value)}},
			),
			failure: write.checks.map((check) => ({
				request_range: {key: encode(check.key)},
			})),
		},
	};
}

function errorCode(error: unknown): string {
	return (error as {code?: string} | undefined)?.code ?? '';
}

/** Smallest key that is greater than every key with the prefix. */
function prefixEnd(prefix: string): string {
	return (
		prefix.slice(0, -1) +
		String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1)
	);
}

/** Client of an etcd v3 table service through its JSON gateway. */
export class EtcdTableService extends TableService {
	constructor(private readonly options: EtcdTableOptions) {
		super();
	}

	override async get(key: string): Promise<Row | undefined> {
		const range = await this.range({key: encode(key)});
		return range[0];
	}

	override async list(
		prefix: string,
		options: ListOptions,
	): Promise<readonly Row[]> {
		const from = options.after === undefined ? prefix : `${options.after}\0`;
		return this.range({
			key: encode(from),
			range_end: encode(prefixEnd(prefix)),
			limit: String(options.limit),
		});
	}

	override async commit(
		batch: readonly ConditionalWrite[],
	): Promise<readonly ConditionalResult[]> {
		const result = await this.post<WireTransaction>(
			'/v3/kv/txn',
			{success: batch.map((write) => toWireOperation(write))},
			'table-outcome-unknown',
		);
		const responses = result.responses ?? [];
		if (responses.length !== batch.length) {
			throw new ProblemError(
				'table-outcome-unknown',
				`table service returned ${responses.length} results for ${batch.length} conditional writes`,
			);
		}

		return responses.map(({response_txn: transaction}) =>
			transaction?.succeeded
				? {committed: true, version: Number(transaction.header!.revision)}
				: {
						committed: false,
						current: (transaction?.responses ?? []).flatMap((response) =>
							(response.response_range?.kvs ?? []).map((row) => toRow(row)),
						),
					},
		);
	}

	private async range(body: Record<string, unknown>): Promise<readonly Row[]> {
		const result = await this.post<WireRange>(
			'/v3/kv/range',
			body,
			'table-unavailable',
		);
		return (result.kvs ?? []).map((row) => toRow(row));
	}

	/** @param uncertainType - problem type if the request may have taken effect */
	private async post<T>(
		path: string,
		body: unknown,
		uncertainType: 'table-unavailable' | 'table-outcome-unknown',
	): Promise<T> {
		let response;
		try {
			response = await callJson(this.options.url + path, {
				method: 'POST',
				body,
				timeoutMs: this.options.timeoutMs,
			});
		} catch (error) {
			const type = notSentCodes.has(errorCode(error))
				? 'table-unavailable'
				: uncertainType;
			throw new ProblemError(type, 'request to the table service failed', {
				cause: toProblem(error),
			});
		}

		if (response.status !== 200) {
			throw new ProblemError(
				uncertainType,
				`table service responded with status ${response.status}`,
			);
		}

		try {
			return JSON.parse(response.text) as T;
		} catch (error) {
			throw new ProblemError(
				uncertainType,
				'response of the table service is not valid JSON',
				{
					cause: toProblem(error),
				},
			);
		}
	}
}
