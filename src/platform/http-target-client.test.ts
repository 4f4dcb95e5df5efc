import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {ResponseHead, SendFailure} from '../common/index.js';
import {
	fakeCallerRequest,
	fakeSendOptions,
	fakeTargetEntry,
} from '../experiments/fakes/index.js';
import {HttpTargetClient} from './http-target-client.js';
import {
	responseHead,
	createScriptedTarget,
	type TargetScript,
} from './testing/index.js';

type Result = {
	head?: ResponseHead;
	body: string;
	isEnded: boolean;
	failure?: SendFailure;
};

async function startTarget(context: TestContext, script: TargetScript) {
	const target = createScriptedTarget(script);
	await new Promise<void>((resolve) => {
		target.server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		target.server.close();
	});
	const {port} = target.server.address() as AddressInfo;
	return {target, address: `127.0.0.1:${port}`};
}

type SendTestOptions = {
	readonly body?: string;
	readonly mayStart?: () => boolean;
};

async function send(
	client: HttpTargetClient,
	address: string,
	id = 'q1',
	{body, mayStart = () => true}: SendTestOptions = {},
): Promise<Result> {
	return new Promise((resolve) => {
		const result: Result = {body: '', isEnded: false};
		client.send(
			address,
			fakeCallerRequest({
				id,
				method: body === undefined ? 'GET' : 'POST',
				headers: [
					['Host', 'a.example'],
					['Cowslipspread-Attempt-Id', id],
				],
				body: body === undefined ? undefined : new TextEncoder().encode(body),
			}),
			fakeSendOptions({mayStart}),
			{
				onHead(head) {
					result.head = head;
				},
				onData(chunk) {
					result.body += new TextDecoder().decode(chunk);
				},
				onEnd() {
					result.isEnded = true;
					resolve(result);
				},
				onFailure(failure) {
					result.failure = failure;
					resolve(result);
				},
			},
		);
	});
}

test('a response without a length whose connection is reset is not taken for a complete one', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.write(`${responseHead(request, 'Connection: close')}half`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	const result = await send(new HttpTargetClient(), address);
	assert.equal(result.isEnded, false);
	assert.equal(result.failure?.unsent, false);
});

test('a response without a length that ends with a normal close is complete', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.end(`${responseHead(request, 'Connection: close')}whole`);
	});
	const result = await send(new HttpTargetClient(), address);
	assert.deepEqual([result.isEnded, result.body], [true, 'whole']);
});

test('a response that ends before its content length is not complete', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.end(`${responseHead(request, 'Content-Length: 10')}half`);
	});
	const result = await send(new HttpTargetClient(), address);
	assert.equal(result.isEnded, false);
});

test('a response that is cut off by the end of its connection is told from one that cannot be parsed', async (context) => {
	const scripts: readonly TargetScript[] = [
		(request, socket) => {
			const head = responseHead(request, 'Transfer-Encoding: chunked');
			socket.end(`${head}9\r\nhalf`);
		},
		(request, socket) => {
			const head = responseHead(
				request,
				'Transfer-Encoding: chunked',
				'Connection: close',
			);
			socket.end(`${head}9\r\nhalf`);
		},
		(request, socket) => {
			socket.end(`${responseHead(request, 'Content-Length: 9')}half`);
		},
		(_request, socket) => {
			socket.end();
		},
		(_request, socket) => {
			socket.resetAndDestroy();
		},
		(_request, socket) => {
			socket.end('no response\r\n\r\n');
		},
	];
	const ended: Array<boolean | undefined> = [];
	for (const script of scripts) {
		const {address} = await startTarget(context, script);
		const {failure} = await send(new HttpTargetClient(), address);
		ended.push(failure?.connectionEnded);
	}

	assert.deepEqual(ended, [true, true, true, true, true, false]);
});

test('surplus bytes after a response are not taken for the next response', async (context) => {
	const {address, target} = await startTarget(context, (request, socket) => {
		const response = `${responseHead(request, 'Content-Length: 2')}ok`;
		socket.write(request.id === 'q1' ? response + response : response);
	});
	const client = new HttpTargetClient();
	await send(client, address);
	await new Promise((resolve) => {
		setTimeout(resolve, 50);
	});
	const second = await send(client, address, 'q2');
	assert.equal(second.head?.requestId, 'q2');
	assert.equal(second.body, 'ok');
	assert.equal(target.requests.length, 2);
});

test('a request body that is still being sent when the response arrives does not corrupt the next request', async (context) => {
	const {address, target} = await startTarget(context, (request, socket) => {
		socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
	});
	const client = new HttpTargetClient();
	const longBody = 'x'.repeat(200_000);
	await send(client, address, 'q1', {body: longBody});
	await send(client, address, 'q2', {body: 'short'});
	assert.deepEqual(
		target.requests.map(({id, body}) => [id, body.length]),
		[
			['q1', 200_000],
			['q2', 5],
		],
	);
});

test('a request whose connection was refused is reported as unsent, so that it may be sent to another target', async () => {
	const result = await send(new HttpTargetClient(), '127.0.0.1:1');
	assert.equal(result.failure?.unsent, true);
});

test('a KV cache copy of an unknown run, one in progress and a refused one are distinguished from a failed one', async (context) => {
	const statuses = [200, 404, 409, 503, 500];
	const {address, target} = await startTarget(context, (_request, socket) => {
		const status = statuses.shift() ?? 0;
		const body = status === 200 ? '{"handle":"h1","created":3}' : '{}';
		socket.write(
			`HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
		);
	});
	const client = new HttpTargetClient();
	const outcomes: string[] = [];
	for (let index = 0; index < 5; index++) {
		const result = await client.copyKvCache(
			{address, requestId: 'q1', toAddress: '10.0.0.2:80'},
			1000,
		);
		outcomes.push(result.outcome);
	}

	assert.deepEqual(outcomes, [
		'copied',
		'unknown-run',
		'busy',
		'refused',
		'failed',
	]);
	assert.deepEqual(JSON.parse(target.requests[0].body), {
		id: 'q1',
		to: '10.0.0.2:80',
		last: false,
	});
});

test('a late duplicate of the response to a control call is not taken for the response to the next control call', async (context) => {
	const {target, address} = await startTarget(context, (request, socket) => {
		const isReport = request.head.startsWith('GET');
		const body = isReport ? '{"handle":"of-another-run"}' : '{"handle":"own"}';
		const response = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
		socket.write(response);
		if (isReport) {
			// The duplicate arrives when the next response is expected.
			setTimeout(() => {
				socket.write(response);
			}, 20);
		}
	});
	const client = new HttpTargetClient();
	client.setMaxConnections(address, 1);
	await assert.rejects(client.report(address, 500), {type: 'target-protocol'});
	const copied = await client.copyKvCache(
		{address, requestId: 'q1', toAddress: '10.0.0.9:80'},
		500,
	);
	assert.deepEqual(copied, {
		outcome: 'copied',
		copy: {address, handle: 'own'},
	});
	assert.equal(target.requests.length, 2);
});

test('an engine counts as ended if its address refuses connections or another incarnation responds, not if it is silent', async (context) => {
	const client = new HttpTargetClient();
	const {address} = await startTarget(context, (request, socket) => {
		const body = JSON.stringify({
			queued: 0,
			running: 0,
			kv_used: 0,
			kv_total: 9,
			born: 1000,
		});
		if (request.head.startsWith('GET /-/report')) {
			socket.write(
				`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
			);
		}
	});
	const silent = await startTarget(context, () => {
		// Does not respond.
	});
	const livenessOf = async (engineAddress: string, bornMs?: number) =>
		client.checkLiveness(
			{...fakeTargetEntry('e1'), address: engineAddress, bornMs},
			200,
		);
	assert.deepEqual(
		[
			await livenessOf('127.0.0.1:1', 1000),
			await livenessOf(address, 1000),
			await livenessOf(address),
			await livenessOf(address, 999),
			await livenessOf(silent.address, 1000),
		],
		['ended', 'alive', 'alive', 'ended', 'unknown'],
	);
});

test('a request that waits for a connection is not sent if the target wants no requests by then', async (context) => {
	const {address, target} = await startTarget(context, (request, socket) => {
		setTimeout(() => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		}, 50);
	});
	const client = new HttpTargetClient();
	client.setMaxConnections(address, 1);
	let isOpen = true;
	const first = send(client, address, 'q1');
	const second = send(client, address, 'q2', {mayStart: () => isOpen});
	isOpen = false;
	const [{isEnded}, {failure}] = await Promise.all([first, second]);
	assert.equal(isEnded, true);
	assert.equal(failure?.unsent, true);
	assert.deepEqual(
		target.requests.map(({id}) => id),
		['q1'],
	);
	const third = await send(client, address, 'q3');
	assert.equal(third.isEnded, true);
});

// Callers got the status 999 of a target; the failure must be counted against the target.
for (const status of ['000', '099', '600', '999']) {
	test(`a response or control call with the undefined status ${status} fails`, async (context) => {
		const {address} = await startTarget(context, (request, socket) => {
			const text = `${responseHead(request, 'Content-Length: 2')}{}`;
			socket.write(text.replace('200', status));
		});
		const client = new HttpTargetClient();
		const {head, isEnded, failure} = await send(client, address);
		assert.deepEqual([head, isEnded], [undefined, false]);
		assert.deepEqual(
			[failure?.unsent, failure?.connectionEnded, failure?.defect],
			[false, false, 'undefined-status'],
		);
		const copy = await client.copyKvCache(
			{address, requestId: 'q1', toAddress: '127.0.0.1:1'},
			900,
		);
		assert.equal(copy.outcome, 'failed');
		await assert.rejects(client.report(address, 900));
		const target = {...fakeTargetEntry('e1'), address, bornMs: 1};
		assert.equal(await client.checkLiveness(target, 900), 'unknown');
	});
}

test('a request that the HTTP library refuses says nothing of its target', async (context) => {
	const {target, address} = await startTarget(context, () => {
		assert.fail('nothing is sent');
	});
	const failure = await new Promise<SendFailure>((resolve) => {
		new HttpTargetClient().send(
			address,
			fakeCallerRequest({
				id: 'q1',
				headers: [
					['Host', 'a'],
					['Host', 'b'],
				],
			}),
			fakeSendOptions(),
			{
				onHead() {
					assert.fail('there is no response');
				},
				onData() {
					assert.fail('there is no response');
				},
				onEnd() {
					assert.fail('there is no response');
				},
				onFailure: resolve,
			},
		);
	});
	assert.deepEqual([failure.unsent, failure.withheld], [true, true]);
	assert.equal(target.requests.length, 0);
});
