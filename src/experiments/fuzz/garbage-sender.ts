import {createSocket} from 'node:dgram';
import {connect} from 'node:net';
import type {RandomSource} from '../../common/index.js';

/** Sends bytes that are no message to ports of a daemon. */
export type GarbageSender = {
	readonly sentCount: number;
	/** Sends to one port over TCP, or to the port of datagrams. */
	send(): void;
	close(): void;
};

/** Ports of a daemon on the loopback address. */
export type DaemonPorts = {
	readonly front: number;
	readonly ready: number;
	/** Both for TCP and for datagrams. */
	readonly peer: number;
};

const host = '127.0.0.1';
const maxBytes = 3000;
const holdMs = 400;

const beginnings = [
	'',
	'GET / HTTP/1.1\r\n',
	'GET / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 900000\r\n\r\n',
	'POST /report/1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n',
	'POST /report/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n',
	'GET /tables?input= HTTP/1.1\r\nHost: a\r\n\r\n',
	'["b",[',
	'["h",["127.0.0.1:1","z","i",1e308,9]',
	'{"rows":[["t",1,',
] as const;

/** Creates a sender. */
export function createGarbageSender(
	ports: DaemonPorts,
	random: RandomSource,
): GarbageSender {
	const datagrams = createSocket('udp4');
	datagrams.unref();
	let sentCount = 0;

	const bytes = () => {
		const beginning =
			beginnings[Math.floor(random.nextUnit() * beginnings.length)];
		const length = Math.floor(random.nextUnit() * maxBytes);
		const rest = Uint8Array.from({length}, () =>
			Math.floor(random.nextUnit() * 256),
		);
		return new Uint8Array([...new TextEncoder().encode(beginning), ...rest]);
	};

	const sendStream = (port: number) => {
		const socket = connect(port, host);
		socket.on('error', () => {
			// The daemon may refuse what is no request.
		});
		socket.write(bytes());
		setTimeout(() => {
			socket.destroy();
		}, random.nextUnit() * holdMs).unref();
	};

	return {
		get sentCount() {
			return sentCount;
		},
		send() {
			sentCount++;
			const ways = [
				() => {
					sendStream(ports.front);
				},
				() => {
					sendStream(ports.ready);
				},
				() => {
					sendStream(ports.peer);
				},
				() => {
					datagrams.send(bytes(), ports.peer, host);
				},
			];
			ways[Math.floor(random.nextUnit() * ways.length)]();
		},
		close() {
			datagrams.close();
		},
	};
}
