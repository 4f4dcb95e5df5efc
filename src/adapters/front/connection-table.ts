/** Limits of the connections of one server. */
export type ConnectionLimits = {
	readonly maxConnections: number;
	/** Connections from one address; others of the address are closed for further ones. */
	readonly maxPerAddress: number;
	/** True to close connections whose responses were sent but not read, for new ones. */
	readonly closesUnread: boolean;
};

/**
 * What a connection is in use for: `new` without a whole request so far, `idle` between requests,
 * `unread` with a response that was sent but not read, `busy` with a request.
 */
export type ConnectionUse = 'new' | 'idle' | 'unread' | 'busy';

/** Limit for which a connection was closed. */
export type ConnectionLimitReason = 'connections' | 'connections-of-address';

/** A connection as the table sees it. */
export type TrackedConnection = {
	/** IP address of the caller. */
	readonly address: string;
	readonly use: ConnectionUse;
	close(): void;
};

/** The open connections of one server. */
export type ConnectionTable = {
	readonly size: number;
	/**
	 * Admits a connection. Where a limit is reached, it closes another connection for it.
	 * @returns false if none can be closed; the new connection must then be closed
	 */
	add(connection: TrackedConnection): boolean;
	remove(connection: TrackedConnection): void;
};

/** Uses in which a connection may be closed for another, those to close first ahead. */
const closableUses: readonly ConnectionUse[] = ['new', 'unread', 'idle'];

/**
 * Creates a table without connections.
 * @param onClosed - called for each connection that is closed or not admitted
 */
export function createConnectionTable(
	limits: ConnectionLimits,
	onClosed: (reason: ConnectionLimitReason) => void,
): ConnectionTable {
	/** By address; each set in the order of arrival. */
	const byAddress = new Map<string, Set<TrackedConnection>>();
	const uses = closableUses.filter(
		(use) => use !== 'unread' || limits.closesUnread,
	);
	let size = 0;

	const remove = (connection: TrackedConnection) => {
		const ofAddress = byAddress.get(connection.address);
		if (!ofAddress?.delete(connection)) {
			return;
		}

		size--;
		if (ofAddress.size === 0) {
			byAddress.delete(connection.address);
		}
	};

	const closableOf = (connections: Iterable<TrackedConnection>) => {
		const all = [...connections];
		for (const use of uses) {
			const found = all.find((connection) => connection.use === use);
			if (found) {
				return found;
			}
		}

		return undefined;
	};

	/** Looks at the addresses with most connections first, so that a crowd costs its own. */
	const closableOfAll = () => {
		const addresses = [...byAddress.values()].sort((a, b) => b.size - a.size);
		for (const connections of addresses) {
			const found = closableOf(connections);
			if (found) {
				return found;
			}
		}

		return undefined;
	};

	const makeRoom = (
		reason: ConnectionLimitReason,
		closable: TrackedConnection | undefined,
	) => {
		onClosed(reason);
		if (!closable) {
			return false;
		}

		remove(closable);
		closable.close();
		return true;
	};

	const hasRoom = (address: string) => {
		const ofAddress = byAddress.get(address);
		if (ofAddress && ofAddress.size >= limits.maxPerAddress) {
			return makeRoom('connections-of-address', closableOf(ofAddress));
		}

		return size < limits.maxConnections
			? true
			: makeRoom('connections', closableOfAll());
	};

	return {
		get size() {
			return size;
		},
		add(connection) {
			if (!hasRoom(connection.address)) {
				return false;
			}

			const ofAddress = byAddress.get(connection.address) ?? new Set();
			byAddress.set(connection.address, ofAddress.add(connection));
			size++;
			return true;
		},
		remove,
	};
}
