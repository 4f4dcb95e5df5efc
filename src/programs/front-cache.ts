#!/usr/bin/env node
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {findFreePorts} from '../experiments/fakes/find-free-ports.js';
import {bootFileVariable, readyPath} from '../platform/index.js';
import {
	responseHead,
	bootFile,
	configurationRow,
	createStoreStandin,
	createScriptedTarget,
	targetRow,
} from '../platform/testing/index.js';
import {bundleFiles, readBundledScript} from './front/bundled-script.js';

const host = '127.0.0.1';
const maxStartMs = 10_000;
const stepMs = 20;
const warmRequests = 20;

async function listen(server: Server): Promise<number> {
	return new Promise((resolve) => {
		server.listen(0, host, () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
}

async function sleep(delayMs: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, delayMs);
	});
}

async function statusOf(url: string, method = 'GET'): Promise<number> {
	try {
		const answer = await fetch(url, {method, headers: {'Api-Key': 'key'}});
		await answer.text();
		return answer.status;
	} catch {
		// Nothing listens yet.
		return 0;
	}
}

/** Target of both kinds of requests. */
function createTarget() {
	return createScriptedTarget((request, socket) => {
		const isStream = request.head.startsWith('POST /report/');
		const body = isStream ? 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n' : 'ok';
		const type = isStream ? 'text/event-stream' : 'text/plain';
		socket.write(
			responseHead(
				request,
				`Content-Type: ${type}`,
				`Content-Length: ${body.length}`,
			) + body,
		);
	});
}

async function createSystems(directory: string) {
	const store = createStoreStandin();
	const target = await listen(createTarget().server);
	const [front, ready, peer] = await findFreePorts(3);
	store.put(
		'op',
		'config',
		configurationRow({
			version: 1,
			host: `${host}:${front}`,
			routes: [
				{name: 'call', prefix: '/call/', kind: 'idempotent', service: 'desk'},
				{name: 'report', prefix: '/report/', kind: 'stream', service: 'model'},
			],
			account: 'finishers',
			apiKeys: ['key'],
		}),
	);
	store.put('servers', 't1', targetRow('desk', `${host}:${target}`));
	store.put('servers', 'e1', targetRow('model', `${host}:${target}`));
	const boot = bootFile({
		front,
		ready,
		peer,
		store: await listen(store.server),
	});
	const file = path.join(directory, 'boot.json');
	writeFileSync(file, JSON.stringify(boot));
	return {front, ready, file};
}

/** Lets the daemon do what every daemon does at its start, so that the cache holds it compiled. */
async function warmUp({front, ready}: {front: number; ready: number}) {
	const startedMs = performance.now();
	while ((await statusOf(`http://${host}:${ready}${readyPath}`)) !== 200) {
		if (performance.now() - startedMs > maxStartMs) {
			return;
		}

		await sleep(stepMs);
	}

	for (let index = 0; index < warmRequests; index++) {
		await statusOf(`http://${host}:${front}/call/${index}`);
		await statusOf(`http://${host}:${front}/report/${index}`, 'POST');
	}
}

/**
 * Writes the compiled code of the joined daemon beside it. Run with the flags of the daemon, since the
 * engine ignores code that was compiled with others.
 * usage: front-cache.js FOLDER
 */
async function writeCache(): Promise<void> {
	const folder = process.argv[2];
	const directory = mkdtempSync(path.join(tmpdir(), 'front-cache-'));
	const systems = await createSystems(directory);
	const joined = readBundledScript(folder);
	process.env[bootFileVariable] = systems.file;
	process.argv = [
		process.argv[0],
		path.join(folder, bundleFiles.code),
		'--metrics-port',
		'0',
		'--log-level',
		'error',
	];
	joined.run();
	await warmUp(systems);
	writeFileSync(
		path.join(folder, bundleFiles.cache),
		joined.script.createCachedData(),
	);
	rmSync(directory, {recursive: true});
	process.exit(0);
}

await writeCache();
