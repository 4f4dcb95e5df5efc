import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {
	createScriptedTarget,
	createStoreStandin,
	responseHead,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	listenOn,
	startDaemon,
	until,
} from './testing/index.js';

const vmIps = [1, 2, 3].map((vm) => `127.0.38.${vm}`);
const callIntervalMs = 15;

const waitMs = async (durationMs: number) =>
	new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});

/**
 * Starts three VMs and two targets. While `isFailing` is true, the first target fails every second call of each
 * VM, so that no VM sees two failures in a row.
 */
async function start(context: TestContext) {
	const store = createStoreStandin();
	const storePort = await listenOn(context, store.server);
	store.put('op', 'config', fixtureConfiguration(3));
	const fault = {isFailing: false};
	const countsByVm = [0, 0];
	for (const id of ['t1', 't2']) {
		const target = createScriptedTarget((request, socket) => {
			const head = responseHead(request, 'Content-Length: 0');
			const vm = Number(request.id.split('-')[1]);
			const isFailed =
				id === 't1' && fault.isFailing && countsByVm[vm]++ % 2 === 0;
			socket.write(
				isFailed ? head.replace('200 OK', '500 Internal Server Error') : head,
			);
		});
		const port = await listenOn(context, target.server);
		store.put('servers', id, targetRow('desk', `127.0.0.1:${port}`));
	}

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
	for (const vm of vms) {
		await until(vm.isReady);
	}

	let callCount = 0;
	const sendOne = async () => {
		// The last VM gets no calls.
		const vm = callCount % 2;
		const id = `q${callCount++}-${vm}`;
		const host = vmIps[vm];
		await call({host, port: ports[0]}, `/stock/${id}`, {
			'Cowslipspread-Attempt-Id': id,
		});
	};

	/** Sends calls at a steady rate until a condition is true, for a longest time, and waits for their answers. */
	const sendUntil = async (isTrue: () => boolean, durationMs: number) => {
		const calls: Array<Promise<void>> = [];
		const endMs = performance.now() + durationMs;
		while (performance.now() < endMs && !isTrue()) {
			calls.push(sendOne());
			await waitMs(callIntervalMs);
		}

		await Promise.all(calls);
	};

	const areAvoiding = () =>
		vms.map(({daemon}) => daemon.avoidedTargets.isAvoided('t1'));
	return {fault, areAvoiding, sendUntil};
}

test('a VM without calls of its own learns which target fails, and all use it again once it is well', async (context) => {
	const {fault, areAvoiding, sendUntil} = await start(context);
	await sendUntil(() => false, 3000);
	assert.deepEqual(areAvoiding(), [false, false, false]);
	fault.isFailing = true;
	await sendUntil(() => areAvoiding().every(Boolean), 5000);
	assert.deepEqual(areAvoiding(), [true, true, true]);
	fault.isFailing = false;
	await sendUntil(() => !areAvoiding().some(Boolean), 10_000);
	assert.deepEqual(areAvoiding(), [false, false, false]);
});
