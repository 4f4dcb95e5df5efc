import {createSocket} from 'node:dgram';
import {
	createEmitter,
	type Disposable,
	type Event,
	isSocketAddress,
	ProblemError,
} from '../../common/index.js';

/** A received datagram. */
export type Datagram = {
	/** `address:port` of the sender. */
	readonly from: string;
	readonly text: string;
};

/** UDP socket for messages between VMs. Datagrams may be lost, duplicated or reordered. */
export type DatagramSocket = Disposable & {
	readonly onDatagram: Event<Datagram>;
	readonly onError: Event<Error>;
	/**
	 * Sends a datagram without waiting for it; failures go to `onError`.
	 * @param address - `address:port`
	 */
	send(address: string, text: string): void;
};

/** Opens a UDP socket bound to an IPv4 address and port. */
export function openDatagramSocket(ip: string, port: number): DatagramSocket {
	const datagrams = createEmitter<Datagram>();
	const errors = createEmitter<Error>();
	const socket = createSocket('udp4');
	socket.on('message', (message, {address, port: fromPort}) => {
		datagrams.fire({
			from: `${address}:${fromPort}`,
			text: message.toString('utf8'),
		});
	});
	socket.on('error', (error) => {
		errors.fire(error);
	});
	socket.bind(port, ip);
	return {
		onDatagram: datagrams.event,
		onError: errors.event,
		send(address, text) {
			if (!isSocketAddress(address)) {
				errors.fire(
					new ProblemError(
						'peer-protocol',
						`"${address}" is not an IPv4 address and port`,
					),
				);
				return;
			}

			const [host, toPort] = address.split(':');
			socket.send(text, Number(toPort), host, (error) => {
				if (error) {
					errors.fire(error);
				}
			});
		},
		dispose() {
			socket.close();
		},
	};
}
