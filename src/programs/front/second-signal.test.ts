import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {createFrontProcess} from '../../experiments/fault-soak/front-process.js';
import {
	bootFile,
	createScriptedTarget,
	createStoreStandin,
	responseHead,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	fixtureKey,
	listenOn,
	statusOf,
	until,
} from './testing/index.js';

const program = fileURLToPath(new URL('../front.js', import.meta.url));
const runMs = 3000;
const firstSignalMs = 500;
const signalIntervalMs = 400;

test('further stop signals, also of another kind, do not cut off the requests in progress (review case 4)', async (context) => {
	const store = createStoreStandin();
	const target = createScriptedTarget((request, socket) => {
		const delayMs = request.head.startsWith('POST /book/slow') ? runMs : 0;
		setTimeout(() => {
			socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
		}, delayMs);
	});
	const storePort = await listenOn(context, store.server);
	const targetPort = await listenOn(context, target.server);
	const routes = [
		{
			name: 'book',
			prefix: '/book/',
			kind: 'non_idempotent',
			service: 'desk',
			timeoutMs: 10_000,
		},
	] as const;
	store.put('op', 'config', fixtureConfiguration(3, [fixtureKey], routes));
	store.put('servers', 't1', targetRow('desk', `127.0.0.1:${targetPort}`));
	const [front, ready, peer] = await findFreePorts(3);
	const folder = mkdtempSync(path.join(tmpdir(), 'front-'));
	const bootFilePath = path.join(folder, 'boot');
	const boot = bootFile({front, ready, peer, store: storePort});
	writeFileSync(bootFilePath, JSON.stringify(boot));
	const daemon = createFrontProcess({
		program,
		bootFilePath,
		onStart() {
			// The test waits for a response.
		},
		onEnd() {
			// The lines of the daemon tell how it ended.
		},
	});
	daemon.start();
	context.after(async () => daemon.end('SIGKILL', 0));
	await until(async () => {
		try {
			return (await statusOf(front, '/book/1', {}, 'POST')) === 200;
		} catch {
			return false;
		}
	});

	const open = Array.from({length: 6}, async (_, index) =>
		call(front, `/book/slow${index}`, {}, 'POST'),
	);
	const sleep = async (delayMs: number) =>
		new Promise((resolve) => {
			setTimeout(resolve, delayMs);
		});
	await sleep(firstSignalMs);
	// After the first of these the exit is expected.
	const ended = daemon.end('SIGTERM', 10_000);
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGINT'] as const) {
		await sleep(signalIntervalMs);
		daemon.signal(signal);
	}

	for (const response of await Promise.all(open)) {
		assert.deepEqual([response.status, response.body], [200, 'ok']);
	}

	await ended;
	assert.ok(daemon.lines.some((line) => line.includes('process ended with 0')));
	assert.ok(daemon.lines.some((line) => line.includes('stop requested again')));
});
