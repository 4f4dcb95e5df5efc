import assert from 'node:assert/strict';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {createServer as createTcpServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {fakeTargetEntry} from '../experiments/fakes/index.js';
import {HttpTargetClient} from './http-target-client.js';

const client = new HttpTargetClient();
const timeoutMs = 300;
const report = {queued: 0, running: 1, kv_used: 0, kv_total: 9000};

type Answer = {readonly status?: number; readonly body?: object | string};

async function listen(
	context: TestContext,
	server: Pick<Server, 'address' | 'close' | 'listen'>,
) {
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return `127.0.0.1:${port}`;
}

/** Starts an engine with one answer to each control call. */
async function startEngine(context: TestContext, answers: Iterable<Answer>) {
	const remaining = [...answers];
	const ports: number[] = [];
	const bodies: string[] = [];
	const server = createServer(async (request: IncomingMessage, response) => {
		ports.push(request.socket.remotePort ?? 0);
		let text = '';
		for await (const chunk of request) {
			text += String(chunk);
		}

		bodies.push(text);
		const {status = 200, body = {}} = remaining.shift() ?? {};
		response.writeHead(status, {'Content-Type': 'application/json'});
		response.end(typeof body === 'string' ? body : JSON.stringify(body));
	});
	return {address: await listen(context, server), ports, bodies};
}

test('says that an engine has no run only if the report shows it, so that a run in progress is not started twice', async (context) => {
	const runs = [
		['q0', 100, 3, 5],
		['q1', 90, 7, 5],
	];
	const cases: Array<[Answer, string]> = [
		[{body: {...report, runs}}, 'running'],
		[{body: {...report, runs: runs.slice(0, 1)}}, 'absent'],
		[{body: {...report, running: 0}}, 'absent'],
		[{body: {...report, queued: 1, runs: []}}, 'unstated'],
		[{body: report}, 'unstated'],
		[{body: {...report, runs: 'none'}}, 'unstated'],
		[{body: {...report, runs: [['q0']]}}, 'unstated'],
		[{body: {...report, runs: [], born: 8}}, 'engine-ended'],
		[{body: {running: 0}}, 'unstated'],
		[{status: 503}, 'unstated'],
		[{body: 'no report'}, 'unstated'],
	];
	const {address, ports} = await startEngine(
		context,
		cases.map(([answer]) => answer),
	);
	const target = fakeTargetEntry('e1', {address, bornMs: 7});
	for (const [answer, state] of cases) {
		const status = await client.runStatus(target, 'q1', timeoutMs);
		assert.equal(status.state, state, JSON.stringify(answer));
		if (status.state === 'running') {
			assert.equal(status.eventCount, 7);
		}
	}

	assert.equal(new Set(ports).size, cases.length, 'each on a new connection');
});

test('a load report whose list of runs can not be read still tells the load', async (context) => {
	const {address} = await startEngine(context, [
		{body: {...report, runs: [['q0', 'x']]}},
	]);
	const {capacityTokens, runs} = await client.report(address, timeoutMs);
	assert.deepEqual([capacityTokens, runs], [9000, undefined]);
});

test('tells an engine that has ended from one that is busy, and does not wait longer than it may', async (context) => {
	const silent = createTcpServer();
	const silentAddress = await listen(context, silent as unknown as Server);
	const startedMs = performance.now();
	const busy = await client.runStatus(
		fakeTargetEntry('e1', {address: silentAddress}),
		'q1',
		timeoutMs,
	);
	assert.equal(busy.state, 'unstated');
	assert.ok(performance.now() - startedMs < 2 * timeoutMs);

	const closed = createServer();
	const address = await listen(context, closed);
	await new Promise((resolve) => {
		closed.close(resolve);
	});
	const ended = await client.runStatus(
		fakeTargetEntry('e1', {address}),
		'q1',
		timeoutMs,
	);
	assert.equal(ended.state, 'engine-ended');
});

test('takes a run for stopped only if the engine has issued a handle', async (context) => {
	const cases: Array<[Answer, string]> = [
		[{body: {handle: 'h1', created: 7}}, 'stopped destination'],
		[{status: 503, body: {handle: 'h1'}}, 'stopped source'],
		[{status: 503}, 'failed'],
		[{status: 503, body: 'full'}, 'failed'],
		[{body: {}}, 'failed'],
		[{status: 404}, 'unknown-run'],
		[{status: 409}, 'busy'],
		[{status: 500, body: {handle: 'h1'}}, 'failed'],
	];
	const {address, bodies} = await startEngine(
		context,
		cases.map(([answer]) => answer),
	);
	for (const [answer, expected] of cases) {
		const result = await client.stopRun(
			{address, requestId: 'q1', toAddress: '127.0.0.1:9'},
			timeoutMs,
		);
		const holder = result.outcome === 'stopped' ? ` ${result.holder}` : '';
		assert.equal(result.outcome + holder, expected, JSON.stringify(answer));
	}

	assert.deepEqual(JSON.parse(bodies[0]), {
		id: 'q1',
		to: '127.0.0.1:9',
		last: true,
	});
});
