import type {Socket} from 'node:net';

/**
 * Resets a connection. One that is being ended is destroyed only: Node.js 20 never closes the handle
 * of a socket that is reset during its end, and the process does not exit.
 */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
