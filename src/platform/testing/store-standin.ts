import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';

/** A small store: rows, a feed of changes, and the faults that tests need. */
export type StoreStandin = {
	readonly server: Server;
	/** Rows of all tables by `table/key`. */
	readonly rows: ReadonlyMap<string, string>;
	/** Writes a row as the operator or a target does; undefined removes it. */
	put(table: string, key: string, value: unknown): void;
	/** Answers everything with this status while set. */
	respondWith(status: number | undefined): void;
	/** Forgets all changes, so that followers have to read again. */
	dropHistory(): void;
};

type Change = {
	readonly table: string;
	readonly key: string;
	readonly value: string | undefined;
	readonly version: number;
};

const feedStepMs = 10;

const wireRow = ({table, key, value, version}: Change) => ({
	table,
	part: '',
	key,
	ver: version,
	...(value === undefined
		? {tombstone: true}
		: {value: Buffer.from(value).toString('base64')}),
});

/** Creates a store without rows; the owner makes it listen. */
export function createStoreStandin(): StoreStandin {
	const current = new Map<string, Change>();
	const texts = new Map<string, string>();
	let changes: Change[] = [];
	let version = 1;
	let oldestVersion = 0;
	let refusal: number | undefined;

	const record = (table: string, key: string, value: string | undefined) => {
		version++;
		const change = {table, key, value, version};
		changes.push(change);
		if (value === undefined) {
			current.delete(`${table}/${key}`);
			texts.delete(`${table}/${key}`);
		} else {
			current.set(`${table}/${key}`, change);
			texts.set(`${table}/${key}`, value);
		}
	};

	const answer = (response: ServerResponse, rows: readonly Change[]) => {
		response.end(
			JSON.stringify({
				rows: rows.map((row) => wireRow(row)),
				more_pages: false,
				ver: version,
				now_ms: 0,
			}),
		);
	};

	const follow = (
		response: ServerResponse,
		query: URLSearchParams,
		untilMs: number,
	) => {
		const after = Number(query.get('after_rev'));
		if (after < oldestVersion) {
			response.writeHead(410).end('{}');
			return;
		}

		const rows = changes.filter(
			(change) => change.table === query.get('table') && change.version > after,
		);
		if (rows.length > 0 || performance.now() >= untilMs) {
			answer(response, rows);
		} else {
			setTimeout(() => {
				follow(response, query, untilMs);
			}, feedStepMs);
		}
	};

	const transact = (body: string) => {
		const {writes} = JSON.parse(body) as {
			writes: ReadonlyArray<{table: string; key: string; value: string}>;
		};
		for (const {table, key, value} of writes) {
			record(table, key, Buffer.from(value, 'base64').toString('utf8'));
		}
	};

	const server = createServer((request, response) => {
		const {pathname, searchParams} = new URL(
			request.url ?? '/',
			'http://store',
		);
		let body = '';
		request.on('data', (chunk: Uint8Array) => {
			body += new TextDecoder().decode(chunk);
		});
		request.on('end', () => {
			if (refusal !== undefined) {
				response.writeHead(refusal).end('{}');
			} else if (pathname === '/-/rows-get') {
				const table = searchParams.get('table');
				answer(
					response,
					[...current.values()].filter((row) => row.table === table),
				);
			} else if (pathname === '/-/rows-feed') {
				const waitMs = Number(searchParams.get('wait_ms'));
				follow(response, searchParams, performance.now() + waitMs);
			} else {
				transact(body);
				response.end(JSON.stringify({ver: version, now_ms: 0}));
			}
		});
	});
	return {
		server,
		rows: texts,
		put(table, key, value) {
			record(
				table,
				key,
				value === undefined ? undefined : JSON.stringify(value),
			);
		},
		respondWith(status) {
			refusal = status;
		},
		dropHistory() {
			changes = [];
			oldestVersion = version + 1;
			version += 2;
		},
	};
}
