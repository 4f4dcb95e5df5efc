import {createServer, type Server} from 'node:net';
import process from 'node:process';

/** Below the range from which systems choose ports by themselves. */
const firstPort = 12_000;
const portsPerProcess = 40;
const processCount = 500;

let portCount = 0;

function nextPort(): number {
	const processBase =
		firstPort + (process.pid % processCount) * portsPerProcess;
	return processBase + (portCount++ % portsPerProcess);
}

async function listenOn(port: number): Promise<Server | undefined> {
	const server = createServer();
	return new Promise((resolve) => {
		server.on('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

/**
 * Finds TCP ports on the loopback interface that are free now. They are not reserved, but test processes
 * that run at the same time look among different ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	const servers: Server[] = [];
	while (ports.length < count) {
		const port = nextPort();
		const server = await listenOn(port);
		if (server) {
			ports.push(port);
			servers.push(server);
		}
	}

	for (const server of servers) {
		server.close();
	}

	return ports;
}
