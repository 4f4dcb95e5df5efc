import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerOptions,
	type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {
	type BoundedConnection,
	type ConnectionClosedReason,
	createBoundedConnection,
} from './bounded-connection.js';
import {
	type ConnectionLimits,
	createConnectionTable,
} from './connection-table.js';
import type {ReceiveMemory} from './receive-memory.js';
import type {TurnListener} from './request-turns.js';

export type {ConnectionClosedReason} from './bounded-connection.js';

export type BoundedServerOptions = ConnectionLimits & {
	readonly http?: ServerOptions;
	/** Memory of requests that are not received whole; one for all servers of a VM. */
	readonly receiveMemory: ReceiveMemory;
	/** Time in which a caller must read more of a response that was sent, in milliseconds. */
	readonly maxUnreadMs: number;
	/** Called for each connection that is closed or refused for a limit. */
	readonly onClosed: (reason: ConnectionClosedReason) => void;
};

/** What all servers of a VM have in common. */
export type ServerBounds = Omit<BoundedServerOptions, 'http'>;

const badRequestStatus = 400;
const badRequestLine = '400 Bad Request';
const expectationFailedStatus = 417;
/** Status lines for requests that could not be received, by the code of the error. */
const statusLines: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** A request of HTTP/1.1 names one host; with several, it can't be said which it is for. */
function hasWrongHost({httpVersion, rawHeaders}: IncomingMessage): boolean {
	let hostCount = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		hostCount += rawHeaders[index].toLowerCase() === 'host' ? 1 : 0;
	}

	return hostCount > 1 || (httpVersion === '1.1' && hostCount === 0);
}

/** Answers a request whose bytes could not be read. */
function endUnreadable(error: NodeJS.ErrnoException, stream: Duplex) {
	if (stream.destroyed) {
		return;
	}

	if (stream.writable) {
		const status = statusLines[error.code ?? ''] ?? badRequestLine;
		stream.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
	}

	stream.end(() => {
		stream.destroy();
	});
}

/**
 * Creates an HTTP server that holds a bounded number of connections, parses one request of each at a
 * time, and closes connections that do not read. The owner makes it listen.
 * @param serve - called for each request when the earlier ones of its connection are answered and read
 */
export function createBoundedServer(
	options: BoundedServerOptions,
	serve: TurnListener,
): Server {
	const table = createConnectionTable(options, options.onClosed);
	const connections = new WeakMap<Duplex, BoundedConnection>();
	// A request without a host is answered below: what Node answers itself takes no turn.
	const server = createServer({...options.http, requireHostHeader: false});
	const accept = server.listeners('connection');
	server.removeAllListeners('connection');
	server.on('connection', (socket: Socket) => {
		const connection = createBoundedConnection(socket, options);
		if (!table.add(connection)) {
			connection.close();
			return;
		}

		connections.set(connection.stream, connection);
		connection.stream.once('close', () => {
			table.remove(connection);
		});
		for (const listener of accept) {
			listener.call(server, connection.stream);
		}
	});

	const takeTurn = (
		request: IncomingMessage,
		response: ServerResponse,
		listener: TurnListener,
	) => {
		const connection = connections.get(request.socket);
		connection?.addRequest(request, response, listener);
	};

	const serveChecked: TurnListener = (request, response, reception) => {
		if (hasWrongHost(request)) {
			response.shouldKeepAlive = false;
			response.writeHead(badRequestStatus).end();
		} else {
			serve(request, response, reception);
		}
	};

	server.on('request', (request, response) => {
		takeTurn(request, response, serveChecked);
	});
	server.on('checkContinue', (request, response) => {
		takeTurn(request, response, (_request, _response, reception) => {
			response.writeContinue();
			serveChecked(request, response, reception);
		});
	});
	server.on('checkExpectation', (request, response) => {
		takeTurn(request, response, () => {
			response.writeHead(expectationFailedStatus).end();
		});
	});
	server.on('clientError', (error: NodeJS.ErrnoException, stream: Duplex) => {
		// A status written now would be taken for the response to the request that is being served.
		if (connections.get(stream)?.hasWholeRequest) {
			stream.destroy();
		} else {
			endUnreadable(error, stream);
		}
	});
	return server;
}
