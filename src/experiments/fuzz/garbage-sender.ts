import {createSocket} from 'node:dgram';
import {connect} from 'node:net';
import type {RandomSource} from '../../common/index.js';

/** Sends malformed input to the ports of a daemon. */
export type GarbageSender = {
	/** Inputs sent so far. */
	readonly sentCount: number;
	/** Sends one input, over TCP to a random port or as a datagram to the peer port. */
	send(): void;
	close(): void;
};

/** Ports of a daemon on the loopback address. */
export type DaemonPorts = {
	readonly front: number;
	readonly ready: number;
	/** Used for both TCP and UDP. */
	readonly peer: number;
};

const host = '127.0.0.1';
const maxBytes = 3000;
/** Longest time that a connection stays open, in milliseconds. */
const maxOpenMs = 400;

/** Starts of messages for the ports, some of them malformed or incomplete. */
const prefixes = [
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

/**
 * Creates a sender.
 * @param random - source of the input, the ports and the times
 */
export function createGarbageSender(
	ports: DaemonPorts,
	random: RandomSource,
): GarbageSender {
	const udpSocket = createSocket('udp4');
	udpSocket.unref();
	let sentCount = 0;

	/** Returns the start of a message, or nothing, followed by random bytes. */
	const createInput = () => {
		const prefix = prefixes[Math.floor(random.nextUnit() * prefixes.length)];
		const length = Math.floor(random.nextUnit() * maxBytes);
		const rest = Uint8Array.from({length}, () =>
			Math.floor(random.nextUnit() * 256),
		);
		return new Uint8Array([...new TextEncoder().encode(prefix), ...rest]);
	};

	const sendOverTcp = (port: number) => {
		const socket = connect(port, host);
		socket.on('error', () => {
			// The daemon may close the connection on malformed input.
		});
		socket.write(createInput());
		setTimeout(() => {
			socket.destroy();
		}, random.nextUnit() * maxOpenMs).unref();
	};

	return {
		get sentCount() {
			return sentCount;
		},
		send() {
			sentCount++;
			const senders = [
				() => {
					sendOverTcp(ports.front);
				},
				() => {
					sendOverTcp(ports.ready);
				},
				() => {
					sendOverTcp(ports.peer);
				},
				() => {
					udpSocket.send(createInput(), ports.peer, host);
				},
			];
			senders[Math.floor(random.nextUnit() * senders.length)]();
		},
		close() {
			udpSocket.close();
		},
	};
}
