import {createHash, randomUUID, timingSafeEqual} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {ProblemError, toProblem} from '../../common/index.js';
import {respondToClientError} from './client-error.js';
import {sendProblem} from './problem-response.js';

/** A request of an authenticated client account, with its response. */
export type CallerExchange = {
	readonly account: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
};

/** Handles the requests below one path prefix. A rejection is sent to the caller as a problem. */
export type CallerHandler = (exchange: CallerExchange) => Promise<void>;

export type CallerServerOptions = {
	/** Bearer tokens by client account. */
	readonly accountTokens: ReadonlyMap<string, string>;
	/** Largest total size of the headers of a request, in bytes. */
	readonly maxHeaderBytes: number;
	/** Time within which the headers and the body of a request must be received, in milliseconds. */
	readonly receiveTimeoutMs: number;
	/** True during a graceful stop; connections are then closed after their response. */
	readonly isStopping: () => boolean;
	readonly handleCompletions: CallerHandler;
	readonly handleServices: CallerHandler;
	/** Pages that need no credentials, by path, for example `/healthz`. */
	readonly pages: ReadonlyMap<
		string,
		() => {readonly status: number; readonly body: string}
	>;
	/**
	 * Called with the problems of requests that could not be parsed, and of requests that fail in a handler. A
	 * relay session that has started reports its failure through `RelayMetrics.failed` instead.
	 * @param requestId - the caller's `X-Request-Id`, or a generated one if it is missing or malformed;
	 * the response carries it too, except if the request could not be parsed
	 */
	readonly onProblem: (problem: ProblemError, requestId: string) => void;
};

export type CallerServer = {
	readonly server: Server;
	/** Number of requests whose response is not complete. */
	openExchanges(): number;
};

const digest = (text: string) => createHash('sha256').update(text).digest();
/** Number of times that Node.js checks a request for its timeout before it expires. */
const checksPerTimeout = 10;

/** An id that does not match is replaced, since ids are stored and shown to operators. */
const requestIdPattern = /^[\w.-]{1,64}$/;

function requestIdOf(request: IncomingMessage): string {
	const callerId = request.headers['x-request-id'];
	return typeof callerId === 'string' && requestIdPattern.test(callerId)
		? callerId
		: randomUUID();
}

function createAuthenticator(
	accountTokens: ReadonlyMap<string, string>,
): (request: IncomingMessage) => string {
	const accounts = [...accountTokens].map(([account, token]) => ({
		account,
		tokenDigest: digest(token),
	}));
	return (request) => {
		const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '');
		const givenDigest = digest(match?.[1] ?? '');
		const found = accounts.find((one) =>
			timingSafeEqual(one.tokenDigest, givenDigest),
		);
		if (!match || !found) {
			throw new ProblemError(
				'unauthorized',
				'a valid bearer token is required',
				{field: 'Authorization'},
			);
		}

		return found.account;
	};
}

function parseUrl(request: IncomingMessage): URL {
	const url = URL.canParse(request.url ?? '', 'http://entry')
		? new URL(request.url ?? '', 'http://entry')
		: undefined;
	if (url?.host !== 'entry') {
		throw new ProblemError('invalid-request', 'request path is malformed', {
			field: 'path',
		});
	}

	return url;
}

/** Creates the HTTP server for callers; it does not listen yet. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
	const authenticate = createAuthenticator(options.accountTokens);
	let openCount = 0;

	const handle = async (
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> => {
		const url = parseUrl(request);
		const page = options.pages.get(url.pathname);
		if (page) {
			const {status, body} = page();
			response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
			response.end(body);
			return;
		}

		const account = authenticate(request);
		const exchange = {account, request, response, url};
		if (url.pathname === '/v1/completions' && request.method === 'POST') {
			await options.handleCompletions(exchange);
		} else if (url.pathname.startsWith('/v1/services/')) {
			await options.handleServices(exchange);
		} else {
			throw new ProblemError('not-found', 'no such path', {field: 'path'});
		}
	};

	const server = createServer(
		{
			maxHeaderSize: options.maxHeaderBytes,
			requestTimeout: options.receiveTimeoutMs,
			headersTimeout: options.receiveTimeoutMs,
			connectionsCheckingInterval: options.receiveTimeoutMs / checksPerTimeout,
		},
		(request, response) => {
			openCount++;
			response.on('close', () => {
				openCount--;
			});
			response.on('error', () => {
				// The caller disconnected; `close` follows.
			});
			if (options.isStopping()) {
				response.setHeader('connection', 'close');
			}

			const requestId = requestIdOf(request);
			response.setHeader('x-request-id', requestId);
			handle(request, response).catch((error: unknown) => {
				const problem = toProblem(error);
				options.onProblem(problem, requestId);
				if (!request.complete) {
					response.shouldKeepAlive = false;
				}

				sendProblem(response, problem);
			});
		},
	);
	server.on('clientError', (error, socket) => {
		options.onProblem(respondToClientError(error, socket), randomUUID());
	});
	return {server, openExchanges: () => openCount};
}
