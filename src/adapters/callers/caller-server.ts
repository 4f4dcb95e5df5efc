import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {ProblemError, toProblem} from '../../common/index.js';
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
	readonly handleCompletions: CallerHandler;
	readonly handleServices: CallerHandler;
	/** Pages without credentials by path, such as `/healthz`. */
	readonly pages: ReadonlyMap<
		string,
		() => {readonly status: number; readonly body: string}
	>;
	/** Called with every problem that ends a request. */
	readonly onProblem: (problem: ProblemError) => void;
};

const digest = (text: string) => createHash('sha256').update(text).digest();

/** Creates the HTTP server towards callers; the caller makes it listen. */
export function createCallerServer(options: CallerServerOptions): Server {
	const accounts = [...options.accountTokens].map(([account, token]) => ({
		account,
		tokenDigest: digest(token),
	}));

	const authenticate = (request: IncomingMessage): string => {
		const match = /^Bearer (.+)$/.exec(request.headers.authorization ?? '');
		const given = digest(match?.[1] ?? '');
		const found = accounts.find((one) =>
			timingSafeEqual(one.tokenDigest, given),
		);
		if (!match || !found) {
			throw new ProblemError(
				'unauthorized',
				'a valid bearer token is required',
				{
					field: 'Authorization',
				},
			);
		}

		return found.account;
	};

	const handle = async (
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> => {
		const url = new URL(request.url ?? '/', 'http://entry');
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
			throw new ProblemError('not-found', `no such path: ${url.pathname}`);
		}
	};

	return createServer(
		{maxHeaderSize: options.maxHeaderBytes},
		(request, response) => {
			handle(request, response).catch((error: unknown) => {
				const problem = toProblem(error);
				options.onProblem(problem);
				sendProblem(response, problem);
			});
		},
	);
}
