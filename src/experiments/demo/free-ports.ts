import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';

// Prints as many free loopback ports as the first argument asks for.
const servers = Array.from({length: Number(process.argv[2])}, () =>
	createServer(),
);
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

process.stdout.write(ports.join(' ') + '\n');
