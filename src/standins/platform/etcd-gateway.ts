import {Buffer} from 'node:buffer';
import type {
	ConditionalResult,
	ConditionalWrite,
	Row,
} from '../../common/index.js';
import type {TableStore} from './table-store.js';

// The subset of etcd v3's JSON gateway that the table adapter uses: range, and a transaction whose
// success branch holds one nested transaction for each conditional write.

type Compare = {readonly key: string; readonly mod_revision: string};

type Operation = {
	readonly request_put?: {readonly key: string; readonly value: string};
	readonly request_delete_range?: {readonly key: string};
	readonly request_range?: {readonly key: string};
	readonly request_txn?: Transaction;
};

type Transaction = {
	readonly compare?: readonly Compare[];
	readonly success?: readonly Operation[];
	readonly failure?: readonly Operation[];
};

type RangeRequest = {
	readonly key: string;
	readonly range_end?: string;
	readonly limit?: string;
};

const decode = (text: string) => Buffer.from(text, 'base64').toString('utf8');
const encode = (text: string) => Buffer.from(text, 'utf8').toString('base64');

function toWireRow(row: Row): Record<string, string> {
	return {
		key: encode(row.key),
		value: encode(row.value),
		mod_revision: String(row.version),
	};
}

function toConditionalWrite(transaction: Transaction): ConditionalWrite {
	return {
		checks: (transaction.compare ?? []).map((compare) => ({
			key: decode(compare.key),
			version: Number(compare.mod_revision),
		})),
		writes: (transaction.success ?? []).map((operation) =>
			operation.request_put
				? {
						key: decode(operation.request_put.key),
						value: decode(operation.request_put.value),
					}
				: {key: decode(operation.request_delete_range!.key), value: undefined},
		),
	};
}

function toWireResult(result: ConditionalResult): Record<string, unknown> {
	if (result.committed) {
		return {
			response_txn: {
				header: {revision: String(result.version)},
				succeeded: true,
			},
		};
	}

	const responses = result.current.map((row) => ({
		response_range: {kvs: [toWireRow(row)]},
	}));
	return {response_txn: {succeeded: false, responses}};
}

/** Answers `/v3/kv/range`. */
export function handleRange(
	store: TableStore,
	request: RangeRequest,
): Record<string, unknown> {
	const key = decode(request.key);
	if (request.range_end === undefined) {
		const row = store.get(key);
		return row ? {kvs: [toWireRow(row)], count: '1'} : {count: '0'};
	}

	const end = decode(request.range_end);
	const limit = Number(request.limit ?? 0) || Number.MAX_SAFE_INTEGER;
	const rows = store
		.list('', {limit: Number.MAX_SAFE_INTEGER})
		.filter((row) => row.key >= key && row.key < end)
		.slice(0, limit);
	return {kvs: rows.map((row) => toWireRow(row)), count: String(rows.length)};
}

/** Answers `/v3/kv/txn`. */
export function handleTransaction(
	store: TableStore,
	transaction: Transaction,
): Record<string, unknown> {
	const batch = (transaction.success ?? []).map((operation) =>
		toConditionalWrite(operation.request_txn!),
	);
	const results = store.commit(batch);
	return {
		succeeded: true,
		responses: results.map((result) => toWireResult(result)),
	};
}
