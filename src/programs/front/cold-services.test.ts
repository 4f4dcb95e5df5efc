import assert from 'node:assert/strict';
import {test} from 'node:test';
import {responseHead} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	startFixture,
	until,
} from './testing/index.js';

const coldPerSecond = 5;
const overage = 1.5;
const slack = 5;
const requestCount = 60;
const spreadMs = 900;

test('a target that names a cold time in its row gets no more calls in a second than the bounds allow, and all of them afterwards', async (context) => {
	const arrivalsMs: number[] = [];
	const fixture = await startFixture(
		context,
		(request, socket) => {
			arrivalsMs.push(performance.now());
			socket.write(responseHead(request, 'Content-Length: 0'));
		},
		{cold_overage: overage, cold_slack: slack},
	);
	const {store, front, entry} = fixture;
	store.put('op', 'config', {
		...fixtureConfiguration(3),
		services: [
			{
				name: 'desk',
				health_path: '/healthz',
				max_conns: 100,
				cold_s: 1,
				cold_per_s: coldPerSecond,
			},
		],
	});
	store.put('servers', 't1', {...entry('desk'), cold_left_ms: 60_000});
	await until(fixture.isReady);

	/** Sends requests in less than a second; returns how many reached the target. */
	const sendAll = async () => {
		arrivalsMs.length = 0;
		const responses = Array.from({length: requestCount}, async (_, index) => {
			await new Promise((resolve) => {
				setTimeout(resolve, (index * spreadMs) / requestCount);
			});
			return call(front, '/stock/1', {'Cowslipspread-Attempt-Id': `q${index}`});
		});
		const statuses = await Promise.all(responses);
		assert.ok(statuses.every(({status}) => status === 200 || status === 503));
		return arrivalsMs.length;
	};

	const whileCold = await sendAll();
	assert.ok(whileCold <= coldPerSecond * overage + slack, `${whileCold}`);
	store.put('servers', 't1', {...entry('desk'), cold_left_ms: 0});
	await new Promise((resolve) => {
		setTimeout(resolve, 500);
	});
	assert.equal(await sendAll(), requestCount);
});
