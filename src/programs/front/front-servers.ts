import type {Server} from 'node:http';
import type {Disposable} from '../../common/index.js';
import {listen} from '../entry/listen.js';
import type {FrontSettings} from './front-settings.js';

/** Servers of a front daemon, by what they serve. */
export type FrontServers = {
	readonly callers: Server;
	readonly ready: Server;
	readonly metrics: Server;
	readonly peerTables: Server;
};

function splitAddress(address: string): {host: string; port: number} {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
}

/**
 * Makes the servers listen; that of the metrics only if the settings give it a port.
 * @returns disposing it closes all servers and their connections
 * @throws Error if an address is in use
 */
export async function openFrontServers(
	servers: FrontServers,
	{vm, metricsPort}: FrontSettings,
): Promise<Disposable> {
	const callers = splitAddress(vm.callerAddress);
	const ready = splitAddress(vm.readyAddress);
	const dispose = () => {
		for (const server of Object.values(servers)) {
			server.close();
			server.closeAllConnections();
		}
	};

	try {
		await listen(servers.callers, callers.port, callers.host);
		await listen(servers.ready, ready.port, ready.host);
		await listen(servers.peerTables, vm.peerPorts[0], vm.ip);
		if (metricsPort > 0) {
			await listen(servers.metrics, metricsPort, vm.ip);
		}
	} catch (error) {
		dispose();
		throw error;
	}

	return {dispose};
}
