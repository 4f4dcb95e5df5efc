import type {Server} from 'node:http';

/** Makes a server listen and gives the port that it got. */
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
