import {connect, type Socket} from 'node:net';

/** Callers that send what they like and never read. */
export type CrowdOptions = {
	readonly port: number;
	readonly connections: number;
	/** Connections opened in place of those that the daemon has closed. */
	readonly maxReconnects: number;
	/** Blocks that all connections together send at most. */
	readonly maxBlocks: number;
	/**
	 * Returns the next bytes of a connection; undefined if it sends nothing more.
	 * @param connection - number of the connection
	 * @param block - number of the block on this connection, from 0
	 */
	readonly nextBlock: (connection: number, block: number) => string | undefined;
	/** Time for which the crowd sends, in milliseconds. */
	readonly durationMs: number;
};

/** Address of the crowd, which differs from that of ordinary callers. */
const crowdAddress = '127.0.0.2';
/** Bytes that may wait in the send buffer of a connection of the crowd. */
const maxUnsentBytes = 65_536;
const refillIntervalMs = 5;

/**
 * Lets a crowd press on a port. Its connections are left open.
 * @returns resolves when the crowd has sent everything or its time has passed; the function closes all
 * connections
 */
export async function press(options: CrowdOptions): Promise<() => void> {
	const sockets = new Set<Socket>();
	let openedCount = 0;
	let blockCount = 0;
	let isOver = false;

	const open = () => {
		const connection = openedCount++;
		const socket = connect({
			port: options.port,
			host: '127.0.0.1',
			localAddress: crowdAddress,
		});
		sockets.add(socket);
		socket.pause();
		let block = 0;
		const fill = () => {
			while (
				!socket.destroyed &&
				socket.writableLength < maxUnsentBytes &&
				blockCount < options.maxBlocks
			) {
				const text = options.nextBlock(connection, block++);
				if (text === undefined) {
					return;
				}

				blockCount++;
				socket.write(text);
			}
		};

		const timer = setInterval(fill, refillIntervalMs);
		socket.on('error', () => {
			// The daemon may close any connection of the crowd.
		});
		socket.once('close', () => {
			clearInterval(timer);
			sockets.delete(socket);
			if (
				!isOver &&
				openedCount < options.connections + options.maxReconnects
			) {
				open();
			}
		});
	};

	for (let count = 0; count < options.connections; count++) {
		open();
	}

	await new Promise((resolve) => {
		setTimeout(resolve, options.durationMs);
	});
	isOver = true;
	return () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};
}
