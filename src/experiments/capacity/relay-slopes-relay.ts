import {randomUUID} from 'node:crypto';
import {subscribe} from 'node:diagnostics_channel';
import {createServer} from 'node:http';
import process from 'node:process';
import {Agent} from 'undici';
import {
	createCallerServer,
	createCompletionsHandler,
	createStreamTokenSigner,
} from '../../adapters/callers/index.js';
import {createMetrics, SystemClock} from '../../adapters/system/index.js';
import {HttpEngine} from '../../adapters/targets/index.js';
import {SeededRandomSource} from '../../common/index.js';
import {createExplainLog} from '../../decisions/explain/index.js';
import {
	effectiveSettings,
	emptyConfiguration,
} from '../../decisions/configuration/index.js';
import {
	defaultRelayLimits,
	type GenerationPlacer,
} from '../../decisions/streams/index.js';
import {createRelayComponents} from '../../programs/entry/relay-components.js';

const [enginePort, barePort, wholePort] = process.argv.slice(2).map(Number);
const engineUrl = `http://127.0.0.1:${enginePort}`;
const address = '127.0.0.1';

// Chunks that undici handed on, for both ways alike.
let chunks = 0;
subscribe('undici:request:bodyChunkReceived', () => {
	chunks++;
});

const agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

/** The bare pipe: undici into Node's http, nothing between. */
createServer((request, response) => {
	request.resume();
	if (request.url === '/counters') {
		const {user, system} = process.cpuUsage();
		response.end(JSON.stringify({cpuMicros: user + system, chunks}));
		return;
	}

	agent.dispatch(
		{
			origin: engineUrl,
			path: '/v1/completions',
			method: 'POST',
			headers: {'x-request-id': randomUUID()},
			body: '{}',
		},
		{
			onRequestStart(controller) {
				response.on('close', () => {
					controller.abort(new Error('caller left'));
				});
				response.on('drain', () => {
					controller.resume();
				});
			},
			onResponseStart() {
				response.writeHead(200, {'content-type': 'text/event-stream'});
			},
			onResponseData(controller, data) {
				if (!response.write(data)) {
					controller.pause();
				}
			},
			onResponseEnd() {
				response.end();
			},
			onResponseError() {
				response.destroy();
			},
		},
	);
}).listen(barePort, address);

const engine = new HttpEngine({
	id: 'engine',
	kind: 'engine',
	url: engineUrl,
	availabilityZone: 'zone-1',
	models: ['model'],
	service: '',
	fencing: 'ignores',
	answersOutcomes: false,
});
const usedTokens = new Map<string, number>();
const placer: GenerationPlacer = {
	place(_request, callbacks) {
		const generationId = randomUUID();
		usedTokens.set(generationId, 0);
		callbacks.onPlaced({engine, generationId, priority: 0});
		return {dispose: () => undefined};
	},
	progressed(generationId, producedTokens) {
		usedTokens.set(generationId, producedTokens);
	},
	ended(generationId) {
		usedTokens.delete(generationId);
	},
	adopt: () => engine,
};
const wiring = createRelayComponents({
	settings: {
		limits: defaultRelayLimits,
		maxOpenStreams: 4000,
		requestTimeoutMs: 30_000,
		maxCallAttempts: 1,
		stopGraceMs: 0,
	},
	clock: new SystemClock(),
	random: new SeededRandomSource(1),
	metrics: createMetrics(),
	placer,
	chooseTarget() {
		throw new Error('no services here');
	},
	onTargetLeaving: () => undefined,
	onUnexpected(error) {
		throw error;
	},
	explainLog: createExplainLog({maxRecords: 100}),
});
createCallerServer({
	accountTokens: new Map([['account', 'token']]),
	maxHeaderBytes: 16_384,
	receiveTimeoutMs: 30_000,
	isStopping: () => false,
	pages: new Map(),
	onProblem: () => undefined,
	handleServices: async () => undefined,
	handleCompletions: createCompletionsHandler({
		maxBodyBytes: 65_536,
		maxOpenStreams: 4000,
		streamTokenSigner: createStreamTokenSigner('key'),
		settingsFor: (account, requestClass) =>
			effectiveSettings(emptyConfiguration, account, requestClass),
		relay: wiring.relay,
		metricsFor: wiring.metricsFor,
		onSession: () => ({dispose: () => undefined}),
	}),
}).server.listen(wholePort, address);

process.on('SIGTERM', () => {
	process.exit(0);
});
