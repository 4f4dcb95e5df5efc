import type {Socket} from 'node:net';

/**
 * Resets a connection. A socket on which `end` was called is only destroyed: if it is reset instead,
 * Node.js 20 never closes its handle, and the process does not exit.
 */
export function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
