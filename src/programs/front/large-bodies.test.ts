import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	fixtureConfiguration,
	fixtureHost,
	fixtureKey,
	startFixture,
	statusOf,
	until,
} from './testing/index.js';

const requestCount = 20;
const bodyBytes = 1_048_576;
const maxAnswerMs = 1500;
/** Time in which the first halves of all bodies arrive, in milliseconds. */
const pauseMs = 300;

type Answer = {
	readonly status: number;
	readonly retryAfterS: number;
	readonly afterMs: number;
};

/**
 * Sends a booking; resolves with the answer, and rejects without one.
 * @param pauseMs - time between the two halves of the body
 */
async function book(port: number, body: string, pauseMs = 0): Promise<Answer> {
	const sentMs = performance.now();
	return new Promise((resolve, reject) => {
		const request = httpRequest(
			{
				port,
				host: '127.0.0.1',
				method: 'POST',
				path: '/book/1',
				headers: {
					Host: fixtureHost,
					'Api-Key': fixtureKey,
					'Content-Length': body.length,
				},
			},
			(response) => {
				response.resume();
				response.on('end', () => {
					resolve({
						status: response.statusCode ?? 0,
						retryAfterS: Number(response.headers['retry-after'] ?? 0),
						afterMs: performance.now() - sentMs,
					});
				});
			},
		);
		request.on('error', reject);
		const half = body.length / 2;
		request.write(body.slice(0, half));
		setTimeout(() => {
			request.end(body.slice(half));
		}, pauseMs);
	});
}

test('large requests that arrive together are each answered in bounded time, some are served, and the others are told when to return (review case 10)', async (context) => {
	const {store, front, entry, isReady, target} = await startFixture(
		context,
		(request, socket) => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		},
	);
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', entry('desk'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	const body = 'b'.repeat(bodyBytes);
	const answers = await Promise.all(
		Array.from({length: requestCount}, async () => book(front, body, pauseMs)),
	);
	const served = answers.filter(({status}) => status === 200);
	const refused = answers.filter(({status}) => status === 503);
	assert.equal(served.length + refused.length, requestCount);
	assert.ok(served.length >= 4, `${served.length} were served`);
	for (const {afterMs} of answers) {
		assert.ok(afterMs < maxAnswerMs, `answered after ${afterMs} ms`);
	}

	for (const {retryAfterS} of refused) {
		assert.ok(retryAfterS > 0);
	}

	const bookings = target.requests.filter(({head}) => head.startsWith('POST'));
	assert.equal(bookings.length, served.length, 'what is refused is not run');
	const {status} = await book(front, body);
	assert.equal(status, 200);
});

test('a body over the limit is answered with 413, although the rest of it is still on its way', async (context) => {
	const {store, front, isReady} = await startFixture(context, () => undefined);
	store.put('op', 'config', fixtureConfiguration(3));
	await until(isReady);
	const {status} = await book(front, 'b'.repeat(8 * bodyBytes));
	assert.equal(status, 413);
});

test('a request with two hosts is refused, and does not make its target count as unreachable', async (context) => {
	const {store, front, entry, isReady} = await startFixture(
		context,
		(request, socket) => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		},
	);
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', entry('desk'));
	await until(isReady);
	await until(async () => (await statusOf(front, '/stock/1')) === 200);
	const status = await new Promise((resolve, reject) => {
		const request = httpRequest(
			{
				port: front,
				host: '127.0.0.1',
				path: '/stock/2',
				headers: ['Host', fixtureHost, 'Host', 'other', 'Api-Key', fixtureKey],
			},
			(response) => {
				response.resume();
				resolve(response.statusCode);
			},
		);
		request.on('error', reject);
		request.end();
	});
	assert.equal(status, 400);
	assert.equal(await statusOf(front, '/stock/3'), 200);
});
