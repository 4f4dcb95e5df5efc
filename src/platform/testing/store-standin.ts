import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';

/** Simulated store with rows, a change feed, and the faults that tests need. */
export type StoreStandin = {
	readonly server: Server;
	/** Values of all rows, by `table/key`. */
	readonly rows: ReadonlyMap<string, string>;
	/** Writes a row as the operator or a target would; undefined removes it. */
	put(table: string, key: string, value: unknown): void;
	/** Writes a row with this text, which need not be JSON. */
	putText(table: string, key: string, text: string): void;
	/** Responds to all requests with this status until it is reset to undefined. */
	respondWith(status: number | undefined): void;
	/** Drops all changes, so that clients must read a new snapshot. */
	dropHistory(): void;
	/** Takes a copy of all rows, to be restored later. */
	copy(): StoreCopy;
	/** Returns to a copy: raises the era by one, and issues the versions after that of the copy again. */
	restore(copy: StoreCopy): void;
	/** Sends this text as the era of all responses until it is reset to undefined. */
	sendEra(text: string | undefined): void;
};

/** Content of the store at some moment. */
export type StoreCopy = {
	readonly changes: readonly Change[];
	readonly latest: ReadonlyMap<string, Change>;
	readonly version: number;
	readonly oldestVersion: number;
};

type Change = {
	readonly table: string;
	readonly key: string;
	readonly value: string | undefined;
	readonly version: number;
};

const feedPollMs = 10;

const toWireRow = ({table, key, value, version}: Change) => ({
	table,
	part: '',
	key,
	ver: version,
	...(value === undefined
		? {tombstone: true}
		: {value: Buffer.from(value).toString('base64')}),
});

/** Creates an empty store. The caller makes the server listen. */
export function createStoreStandin(): StoreStandin {
	const latestByKey = new Map<string, Change>();
	const values = new Map<string, string>();
	let changes: Change[] = [];
	let version = 1;
	let oldestVersion = 0;
	let forcedStatus: number | undefined;
	let era = 0;
	let forcedEra: string | undefined;

	const record = (table: string, key: string, value: string | undefined) => {
		version++;
		const change = {table, key, value, version};
		changes.push(change);
		if (value === undefined) {
			latestByKey.delete(`${table}/${key}`);
			values.delete(`${table}/${key}`);
		} else {
			latestByKey.set(`${table}/${key}`, change);
			values.set(`${table}/${key}`, value);
		}
	};

	const setEra = (response: ServerResponse) => {
		response.setHeader('Store-Era', forcedEra ?? String(era));
	};

	const respond = (response: ServerResponse, rows: readonly Change[]) => {
		setEra(response);
		response.end(
			JSON.stringify({
				rows: rows.map((row) => toWireRow(row)),
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
		if (after < oldestVersion || after > version) {
			setEra(response);
			response.writeHead(410).end('{}');
			return;
		}

		const rows = changes.filter(
			(change) => change.table === query.get('table') && change.version > after,
		);
		if (rows.length > 0 || performance.now() >= untilMs) {
			respond(response, rows);
		} else {
			setTimeout(() => {
				follow(response, query, untilMs);
			}, feedPollMs);
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
			if (forcedStatus !== undefined) {
				response.writeHead(forcedStatus).end('{}');
			} else if (pathname === '/-/rows-get') {
				const table = searchParams.get('table');
				respond(
					response,
					[...latestByKey.values()].filter((row) => row.table === table),
				);
			} else if (pathname === '/-/rows-feed') {
				const waitMs = Number(searchParams.get('wait_ms'));
				follow(response, searchParams, performance.now() + waitMs);
			} else {
				transact(body);
				setEra(response);
				response.end(JSON.stringify({ver: version, now_ms: 0}));
			}
		});
	});
	return {
		server,
		rows: values,
		put(table, key, value) {
			record(
				table,
				key,
				value === undefined ? undefined : JSON.stringify(value),
			);
		},
		putText: record,
		respondWith(status) {
			forcedStatus = status;
		},
		dropHistory() {
			changes = [];
			oldestVersion = version + 1;
			version += 2;
		},
		copy: () => ({
			changes: [...changes],
			latest: new Map(latestByKey),
			version,
			oldestVersion,
		}),
		restore(copy) {
			era++;
			({version, oldestVersion} = copy);
			changes = [...copy.changes];
			latestByKey.clear();
			values.clear();
			for (const [key, change] of copy.latest) {
				latestByKey.set(key, change);
				if (change.value !== undefined) {
					values.set(key, change.value);
				}
			}
		},
		sendEra(text) {
			forcedEra = text;
		},
	};
}
