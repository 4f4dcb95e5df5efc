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
const startTimeoutMs = 10_000;
const pollIntervalMs = 20;
const warmUpRequestCount = 20;

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

/** Sends a request and returns the status of its response, or 0 if the request failed. */
async function fetchStatus(url: string, method = 'GET'): Promise<number> {
	try {
		const response = await fetch(url, {method, headers: {'Api-Key': 'key'}});
		await response.text();
		return response.status;
	} catch {
		// The daemon does not listen yet, or has closed the connection.
		return 0;
	}
}

/** Creates the target of both routes: an event stream for `/report/`, a plain response otherwise. */
function createTarget() {
	return createScriptedTarget((request, socket) => {
		const isStream = request.head.startsWith('POST /report/');
		const body = isStream ? 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n' : 'ok';
		const contentType = isStream ? 'text/event-stream' : 'text/plain';
		socket.write(
			responseHead(
				request,
				`Content-Type: ${contentType}`,
				`Content-Length: ${body.length}`,
			) + body,
		);
	});
}

/** Starts the store and the target that the daemon needs, and writes its boot file. */
async function startDependencies(directory: string) {
	const store = createStoreStandin();
	const targetPort = await listen(createTarget().server);
	const [frontPort, readyPort, peerPort] = await findFreePorts(3);
	store.put(
		'op',
		'config',
		configurationRow({
			version: 1,
			host: `${host}:${frontPort}`,
			routes: [
				{name: 'call', prefix: '/call/', kind: 'idempotent', service: 'desk'},
				{name: 'report', prefix: '/report/', kind: 'stream', service: 'model'},
			],
			account: 'finishers',
			apiKeys: ['key'],
		}),
	);
	store.put('servers', 't1', targetRow('desk', `${host}:${targetPort}`));
	store.put('servers', 'e1', targetRow('model', `${host}:${targetPort}`));
	const boot = bootFile({
		front: frontPort,
		ready: readyPort,
		peer: peerPort,
		store: await listen(store.server),
	});
	const bootPath = path.join(directory, 'boot.json');
	writeFileSync(bootPath, JSON.stringify(boot));
	return {frontPort, readyPort, bootPath};
}

/**
 * Waits until the daemon is ready, and then sends requests on both routes; sends none if the daemon is
 * not ready in time. V8 compiles functions when they are first called, so only code that has run is
 * part of the cache.
 */
async function warmUp({
	frontPort,
	readyPort,
}: {
	frontPort: number;
	readyPort: number;
}) {
	const startedMs = performance.now();
	while (
		(await fetchStatus(`http://${host}:${readyPort}${readyPath}`)) !== 200
	) {
		if (performance.now() - startedMs > startTimeoutMs) {
			return;
		}

		await sleep(pollIntervalMs);
	}

	for (let index = 0; index < warmUpRequestCount; index++) {
		await fetchStatus(`http://${host}:${frontPort}/call/${index}`);
		await fetchStatus(`http://${host}:${frontPort}/report/${index}`, 'POST');
	}
}

/**
 * Runs the bundled daemon and writes V8's code cache for it into the folder of the bundle. Node.js has
 * to be started with the same flags as the daemon, since V8 rejects a cache that was written under
 * other flags.
 *
 * Usage: front-cache.js FOLDER
 */
async function writeCache(): Promise<void> {
	const bundleDirectory = process.argv[2];
	const temporaryDirectory = mkdtempSync(path.join(tmpdir(), 'front-cache-'));
	const dependencies = await startDependencies(temporaryDirectory);
	const bundledScript = readBundledScript(bundleDirectory);
	process.env[bootFileVariable] = dependencies.bootPath;
	process.argv = [
		process.argv[0],
		path.join(bundleDirectory, bundleFiles.code),
		'--metrics-port',
		'0',
		'--log-level',
		'error',
	];
	bundledScript.run();
	await warmUp(dependencies);
	writeFileSync(
		path.join(bundleDirectory, bundleFiles.cache),
		bundledScript.script.createCachedData(),
	);
	rmSync(temporaryDirectory, {recursive: true});
	process.exit(0);
}

await writeCache();
