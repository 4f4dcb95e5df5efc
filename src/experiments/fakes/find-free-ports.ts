import {createServer, type AddressInfo} from 'node:net';

/**
 * Finds TCP ports on the loopback interface that are free now. They are not reserved: another process
 * may bind them before the caller does.
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(
		servers.map(
			async (server) =>
				new Promise<number>((resolve) => {
					server.listen(0, '127.0.0.1', () => {
						resolve((server.address() as AddressInfo).port);
					});
				}),
		),
	);
	for (const server of servers) {
		server.close();
	}

	return ports;
}
