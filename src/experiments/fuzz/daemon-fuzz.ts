import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {SeededRandomSource} from '../../common/index.js';
import {readyPath} from '../../platform/index.js';
import {
	responseHead,
	bootFile,
	configurationRow,
	createStoreStandin,
	createScriptedTarget,
	targetRow,
} from '../../platform/testing/index.js';
import {findFreePorts} from '../fakes/find-free-ports.js';
import {createFrontProcess} from '../fault-soak/front-process.js';
import {createGarbageSender} from './garbage-sender.js';

/** Result of fuzzing a daemon. */
export type DaemonFuzzResult = {
	/** Malformed inputs sent over TCP and in datagrams. */
	readonly garbageSent: number;
	/** Valid requests sent meanwhile, each of which must succeed. */
	readonly soundRequests: number;
	readonly failures: readonly string[];
};

const host = '127.0.0.1';
const requestTimeoutMs = 5000;
const readyTimeoutMs = 15_000;
const pollMs = 50;
const stopGraceMs = 5000;

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

/** Sends a GET request and returns the status of the response, or 0 if there is none. */
async function fetchStatus(url: string): Promise<number> {
	try {
		const response = await fetch(url, {
			headers: {'Api-Key': 'key'},
			signal: AbortSignal.timeout(requestTimeoutMs),
		});
		await response.text();
		return response.status;
	} catch {
		// A request without a response counts as status 0.
		return 0;
	}
}

/**
 * Sends malformed input to every port of a daemon, and to the daemon from the store and a target,
 * while it must keep serving valid requests. Stops at the first failure.
 * @param program - path of the compiled daemon
 * @param seed - seed of the random input
 * @param durationMs - duration once the daemon is ready
 */
export async function fuzzDaemon(
	program: string,
	seed: number,
	durationMs: number,
): Promise<DaemonFuzzResult> {
	const random = new SeededRandomSource(seed);
	const failures: string[] = [];
	const store = createStoreStandin();
	const target = createScriptedTarget((request, socket) => {
		if (request.head.includes('/odd')) {
			const length = Math.floor(random.nextUnit() * 2000);
			socket.end(
				Uint8Array.from({length}, () => Math.floor(random.nextUnit() * 256)),
			);
		} else {
			socket.write(responseHead(request, 'Content-Length: 2') + 'ok');
		}
	});
	const targetPort = await listen(target.server);
	const [front, ready, peer] = await findFreePorts(3);
	const storePort = await listen(store.server);
	store.put(
		'op',
		'config',
		configurationRow({
			version: 1,
			host: `${host}:${front}`,
			routes: [
				{name: 'sound', prefix: '/sound/', kind: 'idempotent', service: 'desk'},
				{name: 'odd', prefix: '/odd/', kind: 'non_idempotent', service: 'odd'},
			],
			account: 'x',
			apiKeys: ['key'],
		}),
	);
	store.put('servers', 't1', targetRow('desk', `${host}:${targetPort}`));
	store.put('servers', 't2', targetRow('odd', `${host}:${targetPort}`));
	const directory = mkdtempSync(path.join(tmpdir(), 'fuzz-'));
	const bootFilePath = path.join(directory, 'boot.json');
	writeFileSync(
		bootFilePath,
		JSON.stringify(bootFile({front, ready, peer, store: storePort})),
	);
	const daemon = createFrontProcess({
		program,
		bootFilePath,
		onStart() {
			// Only an unexpected exit matters.
		},
		onEnd({isUnexpected, cause}) {
			if (isUnexpected) {
				failures.push(`the daemon exited unexpectedly with ${cause}`);
			}
		},
	});
	daemon.start();
	const startedMs = performance.now();
	while ((await fetchStatus(`http://${host}:${ready}${readyPath}`)) !== 200) {
		if (performance.now() - startedMs > readyTimeoutMs) {
			failures.push('the daemon did not become ready in time');
			break;
		}

		await sleep(pollMs);
	}

	const garbage = createGarbageSender({front, ready, peer}, random);
	const untilMs = performance.now() + durationMs;
	let soundRequests = 0;
	while (performance.now() < untilMs && failures.length === 0) {
		for (let count = 0; count < 5; count++) {
			garbage.send();
		}

		store.put('servers', `odd-${soundRequests % 7}`, random.nextUnit());
		const [validStatus] = await Promise.all([
			fetchStatus(`http://${host}:${front}/sound/1`),
			fetchStatus(`http://${host}:${front}/odd/1`),
		]);
		soundRequests++;
		if (validStatus !== 200) {
			failures.push(`valid request ${soundRequests} got status ${validStatus}`);
		}
	}

	garbage.close();
	await daemon.end('SIGTERM', stopGraceMs);
	for (const server of [store.server, target.server]) {
		server.close();
	}

	store.server.closeAllConnections();
	rmSync(directory, {recursive: true});
	return {garbageSent: garbage.sentCount, soundRequests, failures};
}
