import {createConnection, createServer, type AddressInfo} from 'node:net';
import type {Disposable} from '../../common/index.js';
import {
	type FaultState,
	type LinkFault,
	ProxiedConnection,
} from './proxied-connection.js';

/** A TCP proxy on a loopback port that can impose network faults on its connections. */
export type LoopbackProxy = Disposable & {
	readonly port: number;
	/**
	 * Starts a fault in place of the current one, or ends the current one if undefined. Connections
	 * that were silenced stay silent.
	 */
	setFault(fault: LinkFault | undefined): void;
};

const host = '127.0.0.1';

function createFaultState(current: LinkFault | undefined): {
	readonly state: FaultState;
	/** Resolves `state.changed`. */
	readonly signalChange: () => void;
} {
	let signalChange!: () => void;
	const changed = new Promise<void>((resolve) => {
		signalChange = resolve;
	});
	return {state: {current, changed}, signalChange};
}

/**
 * Creates a proxy that listens on a free port and has no fault yet.
 * @param upstreamPort - port that connections are forwarded to
 * @param upstreamHost - address that connections are forwarded to
 */
export async function createLoopbackProxy(
	upstreamPort: number,
	upstreamHost = host,
): Promise<LoopbackProxy> {
	const connections = new Set<ProxiedConnection>();
	let fault = createFaultState(undefined);
	const server = createServer({allowHalfOpen: true}, (client) => {
		const upstream = createConnection({
			port: upstreamPort,
			host: upstreamHost,
			allowHalfOpen: true,
		});
		const connection = new ProxiedConnection(
			client,
			upstream,
			() => fault.state,
		);
		connections.add(connection);
		upstream.on('close', () => {
			connections.delete(connection);
		});
	});
	const port = await new Promise<number>((resolve) => {
		server.listen(0, host, () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
	return {
		port,
		setFault(value) {
			const previous = fault;
			fault = createFaultState(value);
			previous.signalChange();
			for (const connection of connections) {
				if (value === 'silence') {
					connection.silence();
				} else if (value === 'reset') {
					connection.reset();
				}
			}
		},
		dispose() {
			server.close();
			for (const connection of connections) {
				connection.reset();
			}
		},
	};
}
