import assert from 'node:assert/strict';
import {suite, test, type TestContext} from 'node:test';
import {
	createScriptedTarget,
	type ReceivedRequest,
	responseHead,
	targetRow,
	type TargetScript,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	listenOn,
	startFixture,
	until,
} from './testing/index.js';

const routes = {
	call: {method: 'GET', path: '/stock/1'},
	booking: {method: 'POST', path: '/book/1'},
	stream: {method: 'POST', path: '/report/1'},
} as const;

const generationHeaders = {
	'Cowslipspread-Model': 'm',
	'Cowslipspread-Token-Counts': '100,8',
	'Cowslipspread-Prompt-Prefix': 'a1:80,b1:20',
};

/** Starts a daemon and one target that is both a plain service and an engine. */
async function startOneTarget(context: TestContext, script: TargetScript) {
	const fixture = await startFixture(context, (request, socket) => {
		if (request.head.startsWith('GET /-/')) {
			socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
		} else {
			script(request, socket);
		}
	});
	const {store, entry, front, isReady} = fixture;
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 't2', entry('model'));
	await until(isReady);
	const send = async (kind: keyof typeof routes, id: string) => {
		const {method, path} = routes[kind];
		const headers = {'Cowslipspread-Attempt-Id': id, ...generationHeaders};
		return call(front, path, headers, method);
	};

	return {...fixture, send};
}

const whole = (request: ReceivedRequest) =>
	`${responseHead(request, 'Content-Length: 2')}ok`;

/** Says that the request was not executed. */
const refusal = ({id}: ReceivedRequest) =>
	[
		'HTTP/1.1 503 Service Unavailable',
		`Cowslipspread-Attempt-Id: ${id}`,
		'Cowslipspread-Not-Executed: 1',
		'Content-Length: 0',
		'',
		'',
	].join('\r\n');

const headLines = (request: ReceivedRequest, ...lines: readonly string[]) =>
	responseHead(request, ...lines).slice(0, -2);

/** More than the time after which an idempotent call is hedged. */
const slowAnswerMs = 400;
/** Statuses outside of 100 to 599. */
const undefinedStatuses = ['000', '099', '600', '999'];

const withStatus = (request: ReceivedRequest, status: string) =>
	whole(request).replace('200', status);

/** Starts of answers that end before their head is complete. */
const brokenHeads: ReadonlyArray<(request: ReceivedRequest) => string> = [
	() => 'HTTP/1.1 20',
	() => 'HTTP/1.1 200 OK\r\n',
	(request) => headLines(request),
	(request) => `${headLines(request)}Content-Le`,
	(request) => `${headLines(request)}Content-Length: 1`,
	(request) => headLines(request, 'Connection: close'),
	(request) => headLines(request, 'Transfer-Encoding: chunked'),
	(request) => `HTTP/1.1 103 Early Hints\r\n\r\n${headLines(request)}`,
];

suite('broken answers', {concurrency: true}, () => {
	for (const kind of ['call', 'booking', 'stream'] as const) {
		test(`a refusal that a target repeats on a kept connection is not taken for the answer to the next ${kind}`, async (context) => {
			let refused: ReceivedRequest | undefined;
			const executed: string[] = [];
			const {send} = await startOneTarget(context, (request, socket) => {
				if (!refused) {
					refused = request;
					socket.write(refusal(request));
					return;
				}

				executed.push(request.id);
				socket.write(refusal(refused));
				setTimeout(() => {
					socket.write(whole(request));
				}, 30);
			});
			const first = await send('call', 'q1');
			assert.equal(first.status, 503);
			const {status} = await send(kind, 'q2');
			assert.ok(![503, 429, 408, 421].includes(status), `status ${status}`);
			assert.deepEqual(executed, ['q2']);
		});
	}

	for (const kind of ['call', 'booking', 'stream'] as const) {
		test(`an answer that ends inside its head is no success of a ${kind}, on a new and on a kept connection`, async (context) => {
			let answer = whole;
			const {send} = await startOneTarget(context, (request, socket) => {
				const text = answer(request);
				if (answer === whole) {
					socket.write(text);
				} else {
					socket.end(text);
				}
			});
			const statuses: number[] = [];
			for (const [index, brokenHead] of brokenHeads.entries()) {
				answer = whole;
				await send('call', `kept-${index}`);
				answer = brokenHead;
				const response = await send(kind, `broken-${index}`);
				statuses.push(response.status);
			}

			assert.deepEqual(
				statuses.filter((status) => status !== 502),
				[],
			);
		});
	}

	// A status that HTTP does not define was passed on to callers.
	for (const kind of ['call', 'booking', 'stream'] as const) {
		test(`a status that HTTP does not define is not passed on to a ${kind}`, async (context) => {
			let statusText = '999';
			const {send} = await startOneTarget(context, (request, socket) => {
				socket.write(withStatus(request, statusText));
			});
			const statuses: number[] = [];
			for (statusText of undefinedStatuses) {
				const response = await send(kind, `status-${statusText}`);
				statuses.push(response.status);
			}

			assert.deepEqual(
				statuses,
				undefinedStatuses.map(() => 502),
			);
		});
	}

	test('a call whose target answers with an undefined status is sent to another target', async (context) => {
		let undefinedCount = 0;
		const {store, entry, front, isReady} = await startFixture(
			context,
			(request, socket) => {
				undefinedCount++;
				socket.write(withStatus(request, '999'));
			},
		);
		const sound = createScriptedTarget((request, socket) => {
			socket.write(whole(request));
		});
		const soundPort = await listenOn(context, sound.server);
		store.put('op', 'config', fixtureConfiguration(3));
		store.put('servers', 't1', entry('desk'));
		store.put('servers', 't2', targetRow('desk', `127.0.0.1:${soundPort}`));
		await until(isReady);
		const statuses = new Set<number>();
		let index = 0;
		// A VM sends nothing again until it knows how many VMs share the retry budget.
		await until(async () => {
			const countBefore = undefinedCount;
			const headers = {'Cowslipspread-Attempt-Id': `q${index++}`};
			const {status} = await call(front, '/stock/1', headers);
			statuses.add(status);
			return undefinedCount > countBefore && status === 200;
		});
		assert.ok(!statuses.has(999));
	});

	test('a hedge that is answered with an undefined status does not replace the answer of the first target', async (context) => {
		const slow: string[] = [];
		const hedged: string[] = [];
		const {store, entry, front, isReady} = await startFixture(
			context,
			(request, socket) => {
				slow.push(request.id);
				setTimeout(() => {
					socket.write(whole(request));
				}, slowAnswerMs);
			},
		);
		const faulty = createScriptedTarget((request, socket) => {
			if (slow.includes(request.id)) {
				hedged.push(request.id);
			}

			socket.write(withStatus(request, '999'));
		});
		const faultyPort = await listenOn(context, faulty.server);
		store.put('op', 'config', fixtureConfiguration(3));
		store.put('servers', 't1', entry('desk'));
		store.put('servers', 't2', targetRow('desk', `127.0.0.1:${faultyPort}`));
		await until(isReady);
		let index = 0;
		await until(async () => {
			const id = `q${index++}`;
			const headers = {'Cowslipspread-Attempt-Id': id};
			const {status} = await call(front, '/stock/1', headers);
			assert.notEqual(status, 999);
			assert.equal(hedged.includes(id) && status !== 200, false);
			return hedged.includes(id);
		});
	});
});
