import type {Server} from 'node:http';

/**
 * Makes a server listen.
 * @param port - 0 lets the system choose a free port
 * @returns the port on which the server listens
 * @throws the server's error if it cannot listen
 */
export async function listen(
	server: Server,
	port: number,
	address: string,
): Promise<number> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	return (server.address() as {port: number}).port;
}
