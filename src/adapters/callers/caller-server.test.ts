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
let isPlacerFaulty = false;
const unexpected: unknown[] = [];

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
			throw new Error(`unforeseen failure with ${token}`);
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
						if (isPlacerFaulty) {
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
					unexpected.push(error);
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

const ask = async (
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

// Guards against requests that get an untyped answer, leak a secret or end the daemon.
test('answers every kind of bad request with a problem and keeps serving', async () => {
	const cases: ReadonlyArray<[string, ...Parameters<typeof ask>]> = [
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
		const answer = await ask(...values);
		assert.equal((JSON.parse(answer.text) as {type: string}).type, type);
		assert.equal(answer.contentType, 'application/problem+json');
		assert.ok(!answer.text.includes(token));
	}
});

const send = async (text: string) =>
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

// Guards against connections that a caller holds open or fills with garbage.
test('answers requests that are no HTTP, too long or too slow', async () => {
	for (const [type, text] of [
		['invalid-request', 'nonsense\r\n\r\n'],
		['too-large', `GET / HTTP/1.1\r\nx: ${'a'.repeat(5000)}\r\n\r\n`],
		['invalid-request', 'GET / HTTP/1.1\r\nx: '],
	]) {
		const answer = await send(text);
		assert.match(answer, new RegExp(`problem\\+json[^]*"type":"${type}"`));
	}
});

// Guards against a broken event stream that reaches the caller as an answer.
test('ends a broken event stream of an engine with a problem', async () => {
	for (const body of [
		'id: 0\ndata: {"choices"\n\n',
		`data: ${'a'.repeat(100_000)}`,
		'id: 0\ndata: {"choices":[{"text":"a"}]}\n\nid: 0\ndata: {"choices":[{"text":"b"}]}\n\n',
		'id: 0\ndata: {"id":"h","choices":[{"text":"a"}]}\n\n',
	]) {
		engineBody = body;
		const answer = await ask(completion);
		assert.equal(answer.status, 502);
		assert.match(answer.text, /"type":"target-protocol"/);
	}
});

// Guards against answers that arrive after the caller stopped waiting for them.
test('ends a request at its deadline', async () => {
	engineBody = '';
	const answer = await ask(completion, {'x-request-timeout-ms': '50'});
	assert.match(answer.text, /"type":"deadline-exceeded"/);
});

// Guards against generations that go on for a caller that does not come back.
test('cancels with the link count after the resume window', async () => {
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
	'guards against a caller that waits for good when an unexpected error comes while its stream ends',
	{timeout: 5000},
	async () => {
		isPlacerFaulty = true;
		engineBody = 'id: 0\ndata: {"choices"\n\n';
		const answer = await ask(completion);
		isPlacerFaulty = false;
		assert.equal(answer.status, 502);
		assert.match(answer.text, /"type":"target-protocol"/);
		assert.equal(unexpected.length, 1);
	},
);
