import assert from 'node:assert/strict';
import {Agent, type IncomingMessage, request as httpRequest} from 'node:http';
import {test, type TestContext} from 'node:test';
import {responseHead, type TargetScript} from '../../platform/testing/index.js';
import {
	fixtureConfiguration,
	fixtureHost,
	fixtureKey,
	startFixture,
	until,
} from './testing/index.js';

const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

/** Time after the stop signal at which a VM takes only what is certain to end. */
const lateMs = 3200;
const routeTimeoutMs = 20_000;
/** Shorter than what is left of the grace time then. */
const shortTimeoutMs = 1500;
const eventCounts: Readonly<Record<string, number>> = {
	short: 1,
	/** Until after the late requests. */
	medium: 160,
	long: 400,
};
const eventIntervalMs = 25;

type Answer = {
	readonly status: number;
	readonly retryAfter: string | undefined;
	readonly isWhole: boolean;
	readonly afterMs: number;
};

/** Runs generations whose length their path names. */
const target: TargetScript = (request, socket) => {
	if (!request.head.startsWith('POST /report/')) {
		setTimeout(() => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		}, 40);
		return;
	}

	const [, name = ''] = /^POST \/report\/(\w+)/.exec(request.head) ?? [];
	const count = eventCounts[name];
	const respond = async () => {
		socket.write(
			responseHead(
				request,
				'Content-Type: text/event-stream',
				'Transfer-Encoding: chunked',
			),
		);
		for (let id = 1; id <= count && !socket.destroyed; id++) {
			socket.write(chunk(`id: ${id}\ndata: a\n\n`));
			if (id < count) {
				await sleep(eventIntervalMs);
			}
		}

		socket.write('0\r\n\r\n');
	};

	void respond();
};

/** A caller that keeps its connection. */
function createCaller(context: TestContext, port: number) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	context.after(() => {
		agent.destroy();
	});
	let sentCount = 0;

	const send = async (path: string, deadlineMs = routeTimeoutMs) =>
		new Promise<Answer>((resolve) => {
			const sentMs = performance.now();
			const finish = (response?: IncomingMessage) => {
				resolve({
					status: response?.statusCode ?? 0,
					retryAfter: response?.headers['retry-after'],
					isWhole: response?.complete ?? false,
					afterMs: performance.now() - sentMs,
				});
			};

			const request = httpRequest(
				{
					port,
					path,
					method: 'POST',
					agent,
					headers: {
						Host: fixtureHost,
						'Api-Key': fixtureKey,
						'Cowslipspread-Attempt-Id': `q${path}${sentCount++}`,
						'Cowslipspread-Deadline-Ms': String(deadlineMs),
						'Cowslipspread-Model': 'm',
						'Cowslipspread-Token-Counts': '100,2000',
						'Cowslipspread-Prompt-Prefix': `a${sentCount}:100`,
					},
				},
				(response) => {
					response.resume();
					response.on('end', () => {
						finish(response);
					});
					response.on('error', () => {
						finish(response);
					});
				},
			);
			request.on('error', () => {
				finish();
			});
			request.end();
		});

	return {send};
}

test('late in a planned stop, a request that is not certain to end is refused at once instead of cut off (altiplano, issue 36)', async (context) => {
	const {store, daemon, front, entry, isReady} = await startFixture(
		context,
		target,
	);
	const routes = (
		[
			['book', 'non_idempotent', 'desk'],
			['report', 'stream', 'model'],
		] as const
	).map(([name, kind, service]) => ({
		name,
		prefix: `/${name}/`,
		kind,
		service,
		timeoutMs: routeTimeoutMs,
	}));
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
	store.put('servers', 't1', entry('desk'));
	store.put('servers', 'e1', entry('model'));
	await until(isReady);
	const first = createCaller(context, front);
	await until(async () => {
		const {status} = await first.send('/book/1');
		return status === 200;
	});
	// The VM learns that generations of this route are short.
	for (let index = 0; index < 20; index++) {
		const learned = await first.send('/report/short');
		assert.equal(learned.status, 200);
	}

	// Without a request in progress the VM ends before.
	const inProgress = createCaller(context, front).send('/report/medium');
	await sleep(100);
	const stopped = daemon.stop();
	const callers = ['long', 'book', 'short-book'].map(() =>
		createCaller(context, front),
	);
	await sleep(lateMs);
	const [long, book, shortBook] = await Promise.all([
		callers[0].send('/report/long'),
		callers[1].send('/book/2'),
		callers[2].send('/book/3', shortTimeoutMs),
	]);
	await stopped;
	const finished = await inProgress;
	assert.equal(finished.isWhole, true);
	for (const refused of [long, book]) {
		assert.deepEqual([refused.status, refused.isWhole], [503, true]);
		assert.ok(Number(refused.retryAfter) >= 0);
		assert.ok(refused.afterMs < 1000);
	}

	assert.deepEqual([shortBook.status, shortBook.isWhole], [200, true]);
});
