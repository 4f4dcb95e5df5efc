import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {suite, test, type TestContext} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {
	createScriptedTarget,
	createStoreStandin,
	type ReceivedRequest,
	responseHead,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	fleetDiscoveryMs,
	listenOn,
	sleep,
	startDaemon,
	until,
} from './testing/index.js';

const engineCount = 4;
const streamCount = 6;
const report = JSON.stringify({
	queued: 0,
	running: 0,
	kv_used: 0,
	kv_total: 90_000,
});

const eventChunk = (id: number) => {
	const text = `id: ${id}\ndata: token\n\n`;
	return `${text.length.toString(16)}\r\n${text}\r\n`;
};

/** Sends some events of a response, and resets its connection. */
function dropRun(request: ReceivedRequest, socket: Socket, eventCount: number) {
	if (eventCount === 0) {
		socket.resetAndDestroy();
		return;
	}

	const events = Array.from({length: eventCount}, (_, index) =>
		eventChunk(index + 1),
	).join('');
	const head = responseHead(
		request,
		'Content-Type: text/event-stream',
		'Transfer-Encoding: chunked',
	);
	socket.write(head + events, () => {
		// Lets the events arrive first.
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 50);
	});
}

/** Starts VMs in front of engines that stay, and drop each run after some events. */
async function startDroppingEngines(
	context: TestContext,
	vmIps: readonly string[],
	eventCount: number,
) {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	const engines = Array.from({length: engineCount}, () =>
		createScriptedTarget((request, socket) => {
			if (request.head.startsWith('GET /-/')) {
				socket.write(
					`HTTP/1.1 200 OK\r\nContent-Length: ${report.length}\r\n\r\n${report}`,
				);
			} else {
				dropRun(request, socket, eventCount);
			}
		}),
	);
	for (const [index, {server}] of engines.entries()) {
		const port = await listenOn(context, server);
		store.put('servers', `e${index}`, targetRow('model', `127.0.0.1:${port}`));
	}

	store.put('op', 'config', fixtureConfiguration(3));
	const ports = await findFreePorts(3);
	const vms = await Promise.all(
		vmIps.map(async (ip, index) =>
			startDaemon(context, storePort, ports, {
				name: `vm-${index}`,
				ip,
				seedIps: vmIps,
			}),
		),
	);
	for (const {isReady} of vms) {
		await until(isReady);
	}

	// Without a retry budget, no run is sent a second time.
	await sleep(fleetDiscoveryMs);
	return {
		port: ports[0],
		/** Number of times that engines have started to run each request. */
		runCounts() {
			const ids = engines.flatMap(({requests}) => requests.map(({id}) => id));
			return Array.from(
				{length: streamCount},
				(_, index) => ids.filter((id) => id === `r${index}`).length,
			);
		},
	};
}

suite('engines drop runs by a reset and stay', {concurrency: true}, () => {
	for (const [when, scenario, eventCount] of [
		['before its first event', 64, 0],
		['after its first events, before a backup can have begun', 65, 2],
	] as const) {
		// Guards against a request that runs twice: the engine of a backup that was not made drops it too.
		const title = `a run that is dropped ${when} is not sent to a second engine (kiilto, inc1)`;
		test(title, async (context) => {
			const vmIps = [1, 2].map((vm) => `127.0.${scenario}.${vm}`);
			const {port, runCounts} = await startDroppingEngines(
				context,
				vmIps,
				eventCount,
			);
			const statuses: number[] = [];
			for (let index = 0; index < streamCount; index++) {
				const {status} = await call(
					{host: vmIps[0], port},
					`/report/${index}`,
					{
						'Cowslipspread-Attempt-Id': `r${index}`,
						'Cowslipspread-Model': 'm',
						'Cowslipspread-Token-Counts': '3000,900',
						'Cowslipspread-Prompt-Prefix': `a1:79,b${index}:2921`,
						'Cowslipspread-Deadline-Ms': '6000',
					},
					'POST',
				);
				statuses.push(status);
			}

			assert.deepEqual(
				runCounts(),
				Array.from({length: streamCount}, () => 1),
			);
			const expectedStatus = eventCount === 0 ? 502 : 200;
			assert.deepEqual(
				statuses,
				Array.from({length: streamCount}, () => expectedStatus),
			);
		});
	}
});
