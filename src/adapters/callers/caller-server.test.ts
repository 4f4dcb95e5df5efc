import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import net from 'node:net';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {
	createInvariantMonitor,
	ProblemError,
	SeededRandomSource,
	type TargetDescription,
} from '../../common/index.js';
import {
	effectiveSettings,
	emptyConfiguration,
} from '../../decisions/configuration/index.js';
import {
	createByteBudget,
	createPendingCancellations,
	defaultRelayLimits,
} from '../../decisions/streams/index.js';
import {
	createMetrics,
	createRelayMetricsRegistry,
	SystemClock,
	SystemTimers,
} from '../system/index.js';
import {HttpEngine} from '../targets/index.js';
import {createCallerServer} from './caller-server.js';
import {createCompletionsHandler} from './completions-handler.js';
import {createStreamTokenSigner} from './stream-token.js';

const token = 'very-secret-token';
const maxBodyBytes = 2000;
const timers = new SystemTimers();
const cancelled: string[] = [];
const servers: Server[] = [];
let engineBody = '';
let baseUrl = '';
let port = 0;
let generationCount = 0;
let doesPlacerThrow = false;
const unexpectedErrors: unknown[] = [];

const listen = async (server: Server): Promise<number> => {
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as {port: number}).port;
};

before(async () => {
	const enginePort = await listen(
		createServer((incoming, response) => {
			if (incoming.method === 'DELETE') {
				cancelled.push(`${incoming.url} ${incoming.headers['if-match']}`);
				response.end('{}');
				return;
			}

			response.writeHead(200, {etag: '"1"'});
			response.write(engineBody);
		}),
	);
	const description: TargetDescription = {
		id: 'engine',
		kind: 'engine',
		url: `http://127.0.0.1:${enginePort}`,
		availabilityZone: 'zone-1',
		models: ['model'],
		service: '',
		fencing: 'ignores',
		answersOutcomes: false,
	};
	const engine = new HttpEngine(description);
	const clock = new SystemClock();
	const {server} = createCallerServer({
		accountTokens: new Map([['account', token]]),
		maxHeaderBytes: 2048,
		receiveTimeoutMs: 500,
		isStopping: () => false,
		pages: new Map(),
		onProblem: () => undefined,
		async handleServices() {
			throw new Error(`unexpected error with ${token}`);
		},
		handleCompletions: createCompletionsHandler({
			maxBodyBytes,
			maxOpenStreams: 10,
			streamTokenSigner: createStreamTokenSigner('key'),
			settingsFor(account, requestClass) {
				const settings = effectiveSettings(
					emptyConfiguration,
					account,
					requestClass,
				);
				const classSettings = {...settings.classSettings, resumeWindowMs: 20};
				return {...settings, classSettings};
			},
			metricsFor: createRelayMetricsRegistry(createMetrics(), 2),
			onSession: () => ({dispose: () => undefined}),
			relay: {
				placer: {
					place({model}, callbacks) {
						if (model === 'model') {
							const generationId = `g${generationCount++}`;
							callbacks.onPlaced({engine, generationId, priority: 0});
						} else {
							callbacks.onRefused(
								new ProblemError('unknown-model', 'no such model'),
							);
						}

						return {dispose: () => undefined};
					},
					progressed: () => undefined,
					ended() {
						if (doesPlacerThrow) {
							throw new Error('planted');
						}
					},
					adopt: () => engine,
				},
				clock,
				timers,
				random: new SeededRandomSource(1),
				invariants: createInvariantMonitor(),
				limits: {...defaultRelayLimits, maxAttempts: 1},
				bufferBudget: createByteBudget(1_000_000),
				restartBudget: {tryTake: () => true},
				cancellations: createPendingCancellations(timers),
				onTargetLeaving: () => undefined,
				onUnexpected(error) {
					unexpectedErrors.push(error);
				},
			},
		}),
	});
	port = await listen(server);
	baseUrl = `http://127.0.0.1:${port}`;
});

after(() => {
	for (const server of servers) {
		server.closeAllConnections();
		server.close();
	}
});

const post = async (
	body: string | Uint8Array,
	headers: Record<string, string> = {},
	path = '/v1/completions',
) => {
	const response = await request(baseUrl + path, {
		method: 'POST',
		body,
		headers: {authorization: `Bearer ${token}`, ...headers},
	});
	return {
		status: response.statusCode,
		contentType: String(response.headers['content-type']),
		text: await response.body.text(),
	};
};

const completion = JSON.stringify({model: 'model', prompt: 'p'});

test('bad requests and unexpected errors get a problem response without secrets, and the server continues to serve', async () => {
	const cases: ReadonlyArray<[string, ...Parameters<typeof post>]> = [
		['invalid-request', '{'],
		['invalid-request', '{"model":1}'],
		['invalid-request', new Uint8Array([0xff, 0xfe])],
		['too-large', 'a'.repeat(10 * maxBodyBytes)],
		['unknown-model', '{"model":"none","prompt":""}'],
		['unauthorized', completion, {authorization: 'Bearer wrong'}],
		['invalid-request', completion, {'x-request-timeout-ms': 'soon'}],
		['invalid-request', completion, {'last-event-id': 'a~b.1'}],
		[
			'stream-unknown',
			'{"model":"model","prompt":"","stream":true}',
			{'last-event-id': 'a~b.1'},
		],
		['not-found', '', {}, '/nowhere'],
		['internal', '', {}, '/v1/services/any'],
	];
	for (const [type, ...values] of cases) {
		const response = await post(...values);
		assert.equal((JSON.parse(response.text) as {type: string}).type, type);
		assert.equal(response.contentType, 'application/problem+json');
		assert.ok(!response.text.includes(token));
	}
});

const sendRaw = async (text: string) =>
	new Promise<string>((resolve) => {
		let received = '';
		const socket = net.connect(port, '127.0.0.1', () => {
			socket.write(text);
		});
		socket.on('data', (data) => {
			received += data.toString();
		});
		socket.on('close', () => {
			resolve(received);
		});
	});

// Without these checks, a caller could hold connections open or fill memory.
test('requests that are not HTTP, too large or too slow get a problem response and their connection is closed', async () => {
	for (const [type, text] of [
		['invalid-request', 'nonsense\r\n\r\n'],
		['too-large', `GET / HTTP/1.1\r\nx: ${'a'.repeat(5000)}\r\n\r\n`],
		['invalid-request', 'GET / HTTP/1.1\r\nx: '],
	]) {
		const received = await sendRaw(text);
		assert.match(received, new RegExp(`problem\\+json[^]*"type":"${type}"`));
	}
});

test('a malformed event stream of an engine ends the request with a problem instead of reaching the caller', async () => {
	for (const body of [
		'id: 0\ndata: {"choices"\n\n',
		`data: ${'a'.repeat(100_000)}`,
		'id: 0\ndata: {"choices":[{"text":"a"}]}\n\nid: 0\ndata: {"choices":[{"text":"b"}]}\n\n',
		'id: 0\ndata: {"id":"h","choices":[{"text":"a"}]}\n\n',
	]) {
		engineBody = body;
		const response = await post(completion);
		assert.equal(response.status, 502);
		assert.match(response.text, /"type":"target-protocol"/);
	}
});

test('a request whose engine sends nothing ends with a problem at its deadline', async () => {
	engineBody = '';
	const response = await post(completion, {'x-request-timeout-ms': '50'});
	assert.match(response.text, /"type":"deadline-exceeded"/);
});

// Otherwise the generation of a caller that never comes back would continue to use the engine. The connection count
// keeps the engine from cancelling a generation that another entry VM has resumed.
test('a generation whose caller disconnected is cancelled with its connection count after the resume window', async () => {
	engineBody = 'id: 0\ndata: {"choices":[{"text":"a"}]}\n\n';
	const response = await request(`${baseUrl}/v1/completions`, {
		method: 'POST',
		body: JSON.stringify({
			model: 'model',
			prompt: 'p',
			stream: true,
			delivery: 'restartable',
		}),
		headers: {authorization: `Bearer ${token}`},
	});
	for await (const data of response.body as AsyncIterable<Uint8Array>) {
		if (new TextDecoder().decode(data).includes('"text":"a"')) {
			break;
		}
	}

	const path = `/v1/completions/g${generationCount - 1}`;
	while (!cancelled.some((one) => one.startsWith(`${path} `))) {
		await timers.sleep(5);
	}

	assert.ok(cancelled.includes(`${path} "1"`));
});

test(
	'a caller gets its problem response although the placer throws while the stream ends',
	{timeout: 5000},
	async () => {
		doesPlacerThrow = true;
		engineBody = 'id: 0\ndata: {"choices"\n\n';
		const response = await post(completion);
		doesPlacerThrow = false;
		assert.equal(response.status, 502);
		assert.match(response.text, /"type":"target-protocol"/);
		assert.equal(unexpectedErrors.length, 1);
	},
);
