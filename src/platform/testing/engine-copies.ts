import type {ServerResponse} from 'node:http';

/** Copy of the KV cache of a run. */
export type StoredCopy = {
	readonly requestId: string;
	readonly eventCount: number;
};

export type EngineCopiesOptions = {
	/** Events that a run of this engine has made; undefined if the engine has no such run. */
	readonly eventCountOf: (requestId: string) => number | undefined;
	/** Ends a run, and closes its connection without the end of the stream. */
	readonly stopRun: (requestId: string) => void;
	/** Stores a copy at another engine. @returns false if it has no room or can't be reached */
	readonly storeAt: (
		address: string,
		handle: string,
		copy: StoredCopy,
	) => boolean;
};

/** The KV cache copies that a simulated engine holds, and the orders to copy its own runs. */
export type EngineCopies = {
	/** @returns false if there is no room */
	store(handle: string, copy: StoredCopy): boolean;
	/** Sets whether there is room for copies of other engines; true at the start. */
	setRoom(hasRoom: boolean): void;
	/** @returns the copy with this handle if it is of this request */
	stored(handle: string | undefined, requestId: string): StoredCopy | undefined;
	release(handle: string | undefined): void;
	/** Responds to an order to copy a run. */
	handleOrder(body: string, response: ServerResponse): void;
};

/** Body of an order to copy the KV cache of a run. */
type CopyOrderBody = {
	readonly id: string;
	readonly to: string;
	/** True if the run stops first. */
	readonly last: boolean;
};

const copyMs = 40;

/** Creates the copies of an engine that holds none. */
export function createEngineCopies({
	eventCountOf,
	stopRun,
	storeAt,
}: EngineCopiesOptions): EngineCopies {
	const copies = new Map<string, StoredCopy>();
	let nextHandle = 1;
	let hasRoom = true;

	const copy = ({id, to, last}: CopyOrderBody, response: ServerResponse) => {
		const eventCount = eventCountOf(id);
		if (eventCount === undefined) {
			response.writeHead(404).end('{}');
			return;
		}

		// Engines with copies for the same engine must not use the same handle.
		const handle = `${id}-${nextHandle++}`;
		const kvCache = {requestId: id, eventCount};
		if (last) {
			stopRun(id);
		}

		if (storeAt(to, handle, kvCache)) {
			response.end(JSON.stringify({handle, created: eventCount}));
			return;
		}

		if (last) {
			copies.set(handle, kvCache);
		}

		response.writeHead(503).end(JSON.stringify({handle}));
	};

	return {
		store(handle, kvCache) {
			if (hasRoom) {
				copies.set(handle, kvCache);
			}

			return hasRoom;
		},
		setRoom(value) {
			hasRoom = value;
		},
		stored(handle, requestId) {
			const found = copies.get(handle ?? '');
			return found?.requestId === requestId ? found : undefined;
		},
		release(handle) {
			copies.delete(handle ?? '');
		},
		handleOrder(body, response) {
			setTimeout(() => {
				copy(JSON.parse(body) as CopyOrderBody, response);
			}, copyMs);
		},
	};
}
