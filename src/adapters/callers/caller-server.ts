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

/** A request of an authenticated client account. */
export type CallerExchange = {
	readonly account: string;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
};

/** Handles the requests below one path prefix. */
export type CallerHandler = (exchange: CallerExchange) => Promise<void>;

/** Options of the server towards callers. */
export type CallerServerOptions = {
	/** Bearer token of each client account. */
	readonly accountTokens: ReadonlyMap<string, string>;
	/** Largest size of all request headers, in bytes. */
	readonly maxHeaderBytes: number;
	/** Time in which a request's header and body must have arrived, in milliseconds. */
	readonly receiveTimeoutMs: number;
	/** True while a planned stop waits; connections are closed after their answers then. */
	readonly isStopping: () => boolean;
	readonly handleCompletions: CallerHandler;
	readonly handleServices: CallerHandler;
	/** Pages without credentials by path, such as `/healthz`. */
	readonly pages: ReadonlyMap<
		string,
		() => {readonly status: number; readonly body: string}
	>;
	/**
	 * Called with every problem that ends a request.
	 * @param requestId - the caller's `X-Request-Id`, or a new one; answers carry it
	 */
	readonly onProblem: (problem: ProblemError, requestId: string) => void;
};

/** The server and what it has open. */
export type CallerServer = {
	readonly server: Server;
	/** Requests without a whole answer. */
	openExchanges(): number;
};

const digest = (text: string) => createHash('sha256').update(text).digest();
const checksPerTimeout = 10;

/** Longer or other ids of callers are replaced, since they are kept and shown to operators. */
const requestIdPattern = /^[\w.-]{1,64}$/;

function requestIdOf(request: IncomingMessage): string {
	const given = request.headers['x-request-id'];
	return typeof given === 'string' && requestIdPattern.test(given)
		? given
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
		const given = digest(match?.[1] ?? '');
		const found = accounts.find((one) =>
			timingSafeEqual(one.tokenDigest, given),
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
		throw new ProblemError('invalid-request', 'request target is malformed', {
			field: 'path',
		});
	}

	return url;
}

/** Creates the HTTP server towards callers; its owner makes it listen. */
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
				// The caller is gone; `close` follows.
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
