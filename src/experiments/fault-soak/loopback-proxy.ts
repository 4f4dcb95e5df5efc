import {createConnection, createServer, type AddressInfo} from 'node:net';
import type {Disposable} from '../../common/index.js';
import {
	type FaultState,
	type LinkFault,
	ProxiedConnection,
} from './proxied-connection.js';

/** A proxy in front of one port of the loopback address. */
export type LoopbackProxy = Disposable & {
	readonly port: number;
	/** Starts a fault, or ends the one in force if undefined. */
	setFault(fault: LinkFault | undefined): void;
};

const host = '127.0.0.1';

function createFaultState(current: LinkFault | undefined): {
	readonly state: FaultState;
	readonly end: () => void;
} {
	let end!: () => void;
	const changed = new Promise<void>((resolve) => {
		end = resolve;
	});
	return {state: {current, changed}, end};
}

/**
 * Creates a proxy that listens on a free port.
 * @param targetPort - port of the listener behind it
 * @param targetHost - address of the listener behind it
 */
export async function createLoopbackProxy(
	targetPort: number,
	targetHost = host,
): Promise<LoopbackProxy> {
	const links = new Set<ProxiedConnection>();
	let fault = createFaultState(undefined);
	const server = createServer({allowHalfOpen: true}, (near) => {
		const far = createConnection({
			port: targetPort,
			host: targetHost,
			allowHalfOpen: true,
		});
		const link = new ProxiedConnection(near, far, () => fault.state);
		links.add(link);
		far.on('close', () => {
			links.delete(link);
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
			const before = fault;
			fault = createFaultState(value);
			before.end();
			for (const link of links) {
				if (value === 'silence') {
					link.silence();
				} else if (value === 'reset') {
					link.reset();
				}
			}
		},
		dispose() {
			server.close();
			for (const link of links) {
				link.reset();
			}
		},
	};
}
