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

/** What a run against a daemon showed. */
export type DaemonFuzzResult = {
	readonly garbageSent: number;
	readonly soundRequests: number;
	readonly failures: readonly string[];
};

const host = '127.0.0.1';
const requestTimeoutMs = 5000;
const maxStartMs = 15_000;
const stepMs = 50;
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

async function statusOf(url: string): Promise<number> {
	try {
		const answer = await fetch(url, {
			headers: {'Api-Key': 'key'},
			signal: AbortSignal.timeout(requestTimeoutMs),
		});
		await answer.text();
		return answer.status;
	} catch {
		// No answer counts as status 0.
		return 0;
	}
}

/**
 * Sends garbage to every port of a daemon, and through the store and a target, while sound requests
 * are served.
 * @param program - compiled file of the daemon
 */
export async function fuzzDaemon(
	program: string,
	seed: number,
	forMs: number,
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
	const file = path.join(directory, 'boot.json');
	writeFileSync(
		file,
		JSON.stringify(bootFile({front, ready, peer, store: storePort})),
	);
	const daemon = createFrontProcess({
		program,
		bootFilePath: file,
		onStart() {
			// Its end is what counts.
		},
		onEnd({isUnexpected, cause}) {
			if (isUnexpected) {
				failures.push(`the daemon ended by itself with ${cause}`);
			}
		},
	});
	daemon.start();
	const startedMs = performance.now();
	while ((await statusOf(`http://${host}:${ready}${readyPath}`)) !== 200) {
		if (performance.now() - startedMs > maxStartMs) {
			failures.push('the daemon is not ready');
			break;
		}

		await sleep(stepMs);
	}

	const garbage = createGarbageSender({front, ready, peer}, random);
	const untilMs = performance.now() + forMs;
	let soundRequests = 0;
	while (performance.now() < untilMs && failures.length === 0) {
		for (let count = 0; count < 5; count++) {
			garbage.send();
		}

		store.put('servers', `odd-${soundRequests % 7}`, random.nextUnit());
		const [sound] = await Promise.all([
			statusOf(`http://${host}:${front}/sound/1`),
			statusOf(`http://${host}:${front}/odd/1`),
		]);
		soundRequests++;
		if (sound !== 200) {
			failures.push(`sound request ${soundRequests} got status ${sound}`);
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
