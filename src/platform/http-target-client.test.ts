import assert from 'node:assert/strict';
import type {AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {ResponseHead, SendFailure} from '../common/index.js';
import {fakeCallerRequest} from '../experiments/fakes/index.js';
import {HttpTargetClient} from './http-target-client.js';
import {
	responseHead,
	createScriptedTarget,
	type TargetScript,
} from './testing/index.js';

type Result = {
	head?: ResponseHead;
	body: string;
	ended: boolean;
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

async function send(
	link: HttpTargetClient,
	address: string,
	id = 'q1',
	body?: string,
): Promise<Result> {
	return new Promise((resolve) => {
		const result: Result = {body: '', ended: false};
		link.send(
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
			{
				expectedTargetId: 't1',
				account: undefined,
				timeoutMs: 900,
				priority: undefined,
				backupAddress: undefined,
				continueFrom: undefined,
				lastEventId: undefined,
				maxAnswerBytes: 1_048_576,
			},
			{
				onHead(head) {
					result.head = head;
				},
				onData(chunk) {
					result.body += new TextDecoder().decode(chunk);
				},
				onEnd() {
					result.ended = true;
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

test('guards against an answer without a length that was reset and looks whole', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.write(`${responseHead(request, 'Connection: close')}half`, () => {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		});
	});
	const result = await send(new HttpTargetClient(), address);
	assert.equal(result.ended, false);
	assert.equal(result.failure?.unsent, false);
});

test('guards against taking the orderly end of an answer without a length for a fault', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.end(`${responseHead(request, 'Connection: close')}whole`);
	});
	const result = await send(new HttpTargetClient(), address);
	assert.deepEqual([result.ended, result.body], [true, 'whole']);
});

test('guards against an answer that breaks off before its length', async (context) => {
	const {address} = await startTarget(context, (request, socket) => {
		socket.end(`${responseHead(request, 'Content-Length: 10')}half`);
	});
	const result = await send(new HttpTargetClient(), address);
	assert.equal(result.ended, false);
});

test('guards against bytes after an answer that are taken for the next one', async (context) => {
	const {address, target} = await startTarget(context, (request, socket) => {
		const answer = `${responseHead(request, 'Content-Length: 2')}ok`;
		socket.write(request.id === 'q1' ? answer + answer : answer);
	});
	const link = new HttpTargetClient();
	await send(link, address);
	await new Promise((resolve) => {
		setTimeout(resolve, 50);
	});
	const second = await send(link, address, 'q2');
	assert.equal(second.head?.requestId, 'q2');
	assert.equal(second.body, 'ok');
	assert.equal(target.requests.length, 2);
});

test('guards against a body that goes on after an early answer', async (context) => {
	const {address, target} = await startTarget(context, (request, socket) => {
		socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
	});
	const link = new HttpTargetClient();
	const long = 'x'.repeat(200_000);
	await send(link, address, 'q1', long);
	await send(link, address, 'q2', 'short');
	assert.deepEqual(
		target.requests.map(({id, body}) => [id, body.length]),
		[
			['q1', 200_000],
			['q2', 5],
		],
	);
});

test('guards against calling a request sent that reached nobody', async () => {
	const result = await send(new HttpTargetClient(), '127.0.0.1:1');
	assert.equal(result.failure?.unsent, true);
});

test('guards against a copy whose outcome is misread', async (context) => {
	const statuses = [200, 404, 409, 503, 500];
	const {address, target} = await startTarget(context, (_request, socket) => {
		const status = statuses.shift() ?? 0;
		const body = status === 200 ? '{"handle":"h1","created":3}' : '{}';
		socket.write(
			`HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
		);
	});
	const link = new HttpTargetClient();
	const outcomes: string[] = [];
	for (let index = 0; index < 5; index++) {
		const result = await link.copyKvCache(address, 'q1', '10.0.0.2:80', 1000);
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

test('guards against a late second answer to a control call being taken for the next one', async (context) => {
	const {target, address} = await startTarget(context, (request, socket) => {
		const isReport = request.head.startsWith('GET');
		const body = isReport ? '{"handle":"of-another-run"}' : '{"handle":"own"}';
		const answer = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
		socket.write(answer);
		if (isReport) {
			// The second copy arrives where the next answer is expected.
			setTimeout(() => {
				socket.write(answer);
			}, 20);
		}
	});
	const link = new HttpTargetClient();
	link.setMaxConnections(address, 1);
	await assert.rejects(link.report(address, 500), {type: 'target-protocol'});
	const copied = await link.copyKvCache(address, 'q1', '10.0.0.9:80', 500);
	assert.deepEqual(copied, {
		outcome: 'copied',
		memory: {address, handle: 'own'},
	});
	assert.equal(target.requests.length, 2);
});
