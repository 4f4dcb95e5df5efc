import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type CrowdedDaemonLimits,
	type CrowdedPorts,
	type CrowdOptions,
	fixtureHost,
	fixtureKey,
	press,
	startCrowdedDaemon,
	unansweredPath,
} from './testing/index.js';

/** Limits of the VM in these tests, and bounds of what the process may use. */
const usualLimits = {maxHeapMb: 32, memoryMb: 178, maxDescriptors: 200};
const pipeliningMs = 3000;
/** Long enough for a crowd to open all its connections. */
const connectingMs = 1000;
const requestsPerBlock = 50;

type Crowd = {
	readonly port: keyof CrowdedPorts;
	readonly connections: number;
	/** Limits that differ from those of the other crowds. */
	readonly limits?: Partial<CrowdedDaemonLimits>;
	readonly durationMs?: number;
	readonly nextBlock: CrowdOptions['nextBlock'];
};

const lines = (...parts: readonly string[]) => [...parts, '', ''].join('\r\n');
const host = `Host: ${fixtureHost}`;

/** Repeats a request with a number of its own each. */
const pipelined =
	(request: (id: string) => string): CrowdOptions['nextBlock'] =>
	(connection, block) =>
		Array.from({length: requestsPerBlock}, (_, index) =>
			request(`${connection}-${block}-${index}`),
		).join('');

const usualHeaders = (id: string, key: string) => [
	host,
	`Api-Key: ${key}`,
	`Cowslipspread-Attempt-Id: ${id}`,
	'Cowslipspread-Model: m',
	'Cowslipspread-Token-Counts: 100,40',
	`Cowslipspread-Prompt-Prefix: a${id}:100`,
];

const unreadPage = (requestPath: string) =>
	pipelined(() => lines(`GET ${requestPath} HTTP/1.1`, host));

/** Sends a text once and then nothing. */
const once =
	(text: string): CrowdOptions['nextBlock'] =>
	(_connection, block) =>
		block === 0 ? text : undefined;

const silent: CrowdOptions['nextBlock'] = () => undefined;
const longHeaderLine = `X: ${'x'.repeat(1000)}\r\n`;
const halfSentHead = `GET /stock/1 HTTP/1.1\r\n${host}\r\n${longHeaderLine.repeat(60)}`;
const bodyBytes = 4_194_304;
const halfSentBody =
	lines(
		'POST /book/half HTTP/1.1',
		...usualHeaders('half', fixtureKey),
		`Content-Length: ${bodyBytes}`,
	) + 'x'.repeat(1_000_000);
const chunkedHead = (id: string) =>
	lines(
		'POST /book/chunks HTTP/1.1',
		...usualHeaders(id, fixtureKey),
		'Transfer-Encoding: chunked',
	);

const openRequest = (id: string) =>
	lines(
		`POST ${unansweredPath}1 HTTP/1.1`,
		...usualHeaders(id, fixtureKey),
		'Content-Length: 0',
	);
/** Descriptors for many connections; the heap is as small as in the other tests. */
const manyConnections = {maxDescriptors: 3000};

/** Each guards against a process that runs out of memory or descriptors, or no longer serves others. */
const crowds: Readonly<Record<string, Crowd>> = {
	'pipelined requests with the usual headers and a new key each': {
		port: 'front',
		connections: 40,
		nextBlock: pipelined((id) =>
			lines('GET /stock/1 HTTP/1.1', ...usualHeaders(id, `key-${id}`)),
		),
	},
	'pipelined requests with the usual headers and a valid key': {
		port: 'front',
		connections: 40,
		nextBlock: pipelined((id) =>
			lines('GET /stock/1 HTTP/1.1', ...usualHeaders(id, fixtureKey)),
		),
	},
	'pipelined requests without the usual headers': {
		port: 'front',
		connections: 40,
		nextBlock: unreadPage('/'),
	},
	'streams pipelined behind one another': {
		port: 'front',
		connections: 40,
		nextBlock: pipelined((id) =>
			lines(
				'POST /report/1 HTTP/1.1',
				...usualHeaders(id, fixtureKey),
				'Content-Length: 0',
			),
		),
	},
	'pipelined requests with an expectation that is not met': {
		port: 'front',
		connections: 40,
		nextBlock: pipelined(() =>
			lines('GET / HTTP/1.1', host, 'Expect: nothing'),
		),
	},
	'pipelined requests without a host': {
		port: 'front',
		connections: 40,
		nextBlock: pipelined(() => lines('GET / HTTP/1.1')),
	},
	'pipelined readiness checks': {
		port: 'ready',
		connections: 100,
		nextBlock: unreadPage('/-/readyz'),
	},
	'pipelined requests for the metrics page': {
		port: 'metrics',
		connections: 40,
		nextBlock: unreadPage('/metrics'),
	},
	'pipelined requests at the port for peers': {
		port: 'peer',
		connections: 40,
		nextBlock: unreadPage('/tables'),
	},
	'many connections, each with pipelined requests behind one that stays open': {
		port: 'front',
		connections: 800,
		limits: manyConnections,
		nextBlock: (connection, block) =>
			block === 0
				? openRequest(`${connection}`).repeat(requestsPerBlock)
				: undefined,
	},
	'many connections with pipelined requests and a valid key': {
		port: 'front',
		connections: 800,
		limits: manyConnections,
		nextBlock: pipelined((id) =>
			lines('GET /stock/1 HTTP/1.1', ...usualHeaders(id, fixtureKey)),
		),
	},
	'half-sent heads': {
		port: 'front',
		connections: 400,
		durationMs: connectingMs,
		nextBlock: once(halfSentHead),
	},
	'half-sent bodies': {
		port: 'front',
		connections: 100,
		durationMs: connectingMs,
		nextBlock: once(halfSentBody),
	},
	'bodies in tiny chunks': {
		port: 'front',
		connections: 40,
		nextBlock: (connection, block) =>
			block === 0
				? chunkedHead(`${connection}`)
				: '1\r\nx\r\n'.repeat(requestsPerBlock),
	},
	'connections that send nothing, to the port for callers': {
		port: 'front',
		connections: 400,
		durationMs: connectingMs,
		nextBlock: silent,
	},
	'connections that send nothing, to the readiness check': {
		port: 'ready',
		connections: 400,
		durationMs: connectingMs,
		nextBlock: silent,
	},
	'connections that send nothing, to the port for peers': {
		port: 'peer',
		connections: 400,
		durationMs: connectingMs,
		nextBlock: silent,
	},
	'connections that send nothing, to the metrics page': {
		port: 'metrics',
		connections: 400,
		durationMs: connectingMs,
		nextBlock: silent,
	},
};

/** A crowd that sends more than this within its time is held back, so that the test stays bounded. */
const maxBlocks = 40_000;
const maxReconnects = 400;

for (const [name, crowd] of Object.entries(crowds)) {
	const title = `a daemon lives on and serves others beside a crowd: ${name}`;
	test(title, async (context) => {
		const limits = {...usualLimits, ...crowd.limits};
		const daemon = await startCrowdedDaemon(context, limits);
		const leave = await press({
			...crowd,
			port: daemon.ports[crowd.port],
			maxReconnects,
			maxBlocks,
			durationMs: crowd.durationMs ?? pipeliningMs,
		});
		context.after(leave);
		const {exits, peakMemoryMb, peakDescriptors} = daemon;
		context.diagnostic(
			`${peakMemoryMb} MB, ${peakDescriptors} descriptors, exits: ${exits.join(' ')}`,
		);
		assert.deepEqual(exits, []);
		assert.ok(
			peakMemoryMb < limits.memoryMb,
			`${peakMemoryMb} MB of memory were used`,
		);
		assert.ok(
			peakDescriptors < limits.maxDescriptors,
			`${peakDescriptors} descriptors were open`,
		);
		// The connections of the crowd are still open.
		assert.equal(await daemon.readinessCheck(), 200);
		assert.equal(await daemon.ordinaryCall(), 200);
		assert.deepEqual(exits, []);
	});
}
