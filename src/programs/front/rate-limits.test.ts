import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findFreePorts, knownFailure} from '../../experiments/fakes/index.js';
import {
	createScriptedTarget,
	createStoreStandin,
	responseHead,
	targetRow,
	type TargetScript,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	listenOn,
	startDaemon,
	until,
} from './testing/index.js';

const vmIps = ['127.0.20.1', '127.0.20.2', '127.0.20.3'];
const limitPerSecond = 2;
const windowMs = 4000;
/** Requests that a limited target may get in a window, with a margin for what was under way. */
const maxInWindow = (1.5 * limitPerSecond * windowMs) / 1000 + 5;
/** Time after the first limited response in which the VMs learn of the limit, in milliseconds. */
const settleMs = 1000;
const callIntervalMs = 30;
const durationMs = 7000;

const sleep = async (delayMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});

/** Responds to every request, and keeps the times of arrival; with a limit, names it in each response. */
function createService(limit?: number) {
	const arrivalsMs: number[] = [];
	const script: TargetScript = (request, socket) => {
		arrivalsMs.push(performance.now());
		const lines = limit === undefined ? [] : [`Server-Limit: ${limit}`];
		socket.write(`${responseHead(request, ...lines, 'Content-Length: 2')}ok`);
	};

	return {arrivalsMs, ...createScriptedTarget(script)};
}

/** Largest number of arrivals in a window that starts after the VMs have learned of the limit. */
function mostInWindow(arrivalsMs: readonly number[]): number {
	const fromMs = (arrivalsMs[0] ?? 0) + settleMs;
	const settled = arrivalsMs.filter((atMs) => atMs >= fromMs);
	return Math.max(
		0,
		...settled.map(
			(startMs) =>
				settled.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs)
					.length,
		),
	);
}

const title =
	'all VMs together send a target no more requests than the rate limit that it names (altiplano, inc1)';

test(title, knownFailure(title), async (context) => {
	const store = createStoreStandin();
	const limited = createService(limitPerSecond);
	const unlimited = createService();
	const storePort = await listenOn(context, store.server);
	const limitedPort = await listenOn(context, limited.server);
	const unlimitedPort = await listenOn(context, unlimited.server);
	store.put('op', 'config', fixtureConfiguration(3));
	store.put('servers', 't1', targetRow('desk', `127.0.0.1:${limitedPort}`));
	store.put('servers', 't2', targetRow('desk', `127.0.0.1:${unlimitedPort}`));
	const ports = await findFreePorts(3);
	const daemons = await Promise.all(
		vmIps.map(async (ip, index) =>
			startDaemon(context, storePort, ports, {
				name: `vm-${index}`,
				ip,
				seedIps: vmIps,
			}),
		),
	);
	for (const daemon of daemons) {
		await until(daemon.isReady);
	}

	const calls: Array<ReturnType<typeof call>> = [];
	const endMs = performance.now() + durationMs;
	for (let index = 0; performance.now() < endMs; index++) {
		const address = {host: vmIps[index % vmIps.length], port: ports[0]};
		const requestPath = `/stock/${index}`;
		const headers = {'Cowslipspread-Attempt-Id': `q${index}`};
		calls.push(call(address, requestPath, headers));
		await sleep(callIntervalMs);
	}

	const responses = await Promise.all(calls);
	const most = mostInWindow(limited.arrivalsMs);
	assert.ok(
		most <= maxInWindow,
		`the limited target got ${most} requests in ${windowMs} ms; allowed are ${maxInWindow}`,
	);
	assert.ok(limited.arrivalsMs.length > 0);
	assert.deepEqual(
		responses.filter(({status}) => status !== 200),
		[],
	);
});
