import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {findFreePorts} from '../../experiments/fakes/index.js';
import {
	type PlantedEdit,
	withPlantedBuild,
} from '../../experiments/fakes/planted-build.js';
import {createFrontProcess} from '../../experiments/fault-soak/front-process.js';
import {readyPath} from '../../platform/index.js';
import {
	responseHead,
	bootFile,
	createStoreStandin,
	createScriptedTarget,
	targetRow,
} from '../../platform/testing/index.js';
import {
	call,
	fixtureConfiguration,
	listenOn,
	statusOf,
	until,
} from './testing/index.js';

/** Callbacks in which an error is thrown once: name, compiled file, and the text before which it goes. */
const plantedErrors = [
	[
		'ready page',
		'programs/front/front-pages.js',
		'respond(request, response);',
	],
	[
		'caller',
		'programs/front/request-server.js',
		'const request = decodeRequest(received);',
	],
	[
		'target head',
		'platform/http-target-client.js',
		'listener.onHead(decodeResponseHead(',
	],
	['target data', 'platform/http-target-client.js', 'listener.onData(bytes);'],
	[
		'store row',
		'programs/front/store-watch-targets.js',
		'options.onTargetRows({',
	],
	['datagram', 'programs/front/fleet-exchange.js', 'relay.handle(value);'],
	[
		'heartbeat',
		'programs/front/fleet-exchange.js',
		'coordinatorRole.update();',
	],
	['tick', 'programs/front/create-front.js', 'directory.tick();'],
	[
		'stream',
		'decisions/serving/stream-session.js',
		'if (send && !send.isOver && mayLeaveSilent()) {',
	],
] as const;

const plantedEdits = plantedErrors.map(
	([name, file, original]): PlantedEdit => ({
		file,
		original,
		replacement: `(() => {
			const planted = (globalThis.planted ??= new Set());
			if (!planted.has('${name}')) {
				planted.add('${name}');
				throw new Error('planted in ${name}');
			}
		})();
		${original}`,
	}),
);

const host = '127.0.0.1';
const streamMs = 700;

test('an error thrown in a callback fails at most its own request, and the daemon goes on', async (context) => {
	await withPlantedBuild(plantedEdits, async (directory) => {
		const store = createStoreStandin();
		const target = createScriptedTarget((request, socket) => {
			if (request.head.includes('/report/')) {
				const head = responseHead(request, 'Content-Type: text/event-stream');
				socket.write(`${head}id: 1\ndata: a\n\n`);
				setTimeout(() => {
					socket.end();
				}, streamMs);
			} else {
				socket.write(`${responseHead(request, 'Content-Length: 2')}ok`);
			}
		});
		const targetPort = await listenOn(context, target.server);
		const storePort = await listenOn(context, store.server);
		const [front, ready, peer] = await findFreePorts(3);
		const file = path.join(mkdtempSync(path.join(tmpdir(), 'front-')), 'boot');
		const boot = bootFile({front, ready, peer, store: storePort});
		writeFileSync(file, JSON.stringify(boot));
		store.put('op', 'config', fixtureConfiguration(3));
		const entry = (service: string) =>
			targetRow(service, `${host}:${targetPort}`);
		store.put('servers', 'e1', entry('model'));

		const unexpectedExits: string[] = [];
		const daemon = createFrontProcess({
			program: path.join(directory, 'programs/front.js'),
			bootFilePath: file,
			onStart() {
				// Only exits are examined.
			},
			onEnd({isUnexpected, cause}) {
				if (isUnexpected) {
					unexpectedExits.push(cause);
				}
			},
		});
		daemon.start();
		try {
			await until(async () => {
				try {
					return (await statusOf(ready, readyPath)) === 200;
				} catch {
					// The daemon does not listen yet.
					return false;
				}
			});
			store.put('servers', 't1', entry('desk'));
			await until(async () => {
				try {
					return (await statusOf(front, '/stock/1')) === 200;
				} catch {
					// The planted error closed the connection of this request.
					return false;
				}
			});
			const stream = await call(front, '/report/1', {}, 'POST');
			assert.equal(stream.aborted, true);
			const whole = await call(front, '/report/2', {}, 'POST');
			assert.deepEqual([whole.status, whole.aborted], [200, false]);
			const socket = createSocket('udp4');
			socket.send('{}', peer, host);
			await until(() =>
				plantedErrors.every(([name]) =>
					daemon.lines.some((line) => line.includes(`planted in ${name}`)),
				),
			);
			socket.close();
			const calls = Array.from({length: 10}, async () =>
				statusOf(front, '/stock/2'),
			);
			assert.deepEqual(new Set(await Promise.all(calls)), new Set([200]));
			assert.deepEqual(unexpectedExits, []);
		} finally {
			await daemon.end('SIGKILL', 1000);
			store.server.closeAllConnections();
		}
	});
});
