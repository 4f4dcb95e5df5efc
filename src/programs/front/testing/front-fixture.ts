import {mkdtempSync, writeFileSync} from 'node:fs';
import assert from 'node:assert/strict';
import {
	Agent,
	request as httpRequest,
	type IncomingHttpHeaders,
} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TestContext} from 'node:test';
import {findFreePorts} from '../../../experiments/fakes/index.js';
import {
	bootFile,
	type BootFileOptions,
	configurationRow,
	createStoreStandin,
	createScriptedTarget,
	type OperatorRoute,
	targetRow,
	type TargetScript,
} from '../../../platform/testing/index.js';
import {createFront} from '../create-front.js';
import type {FrontDaemon} from '../front-daemon.js';
import {readBootFile} from '../front-settings.js';

/** Host of the routes in the fixture's configuration. */
export const fixtureHost = 'a.example';
/** Valid API key in the fixture's configuration. */
export const fixtureKey = 'key-1';

/** Listens on a free port of the loopback address until the test ends. */
export async function listenOn(
	context: TestContext,
	server: Server,
): Promise<number> {
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

/** Response as a caller received it. */
export type FixtureResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** True if the connection broke before the response was complete. */
	readonly aborted: boolean;
};

/** Port on 127.0.0.1, or host and port, at which a daemon listens. */
export type DaemonAddress =
	number | {readonly host: string; readonly port: number};

/** Sends a request to a daemon as a caller does. */
export async function call(
	address: DaemonAddress,
	requestPath: string,
	headers: Readonly<Record<string, string>> = {},
	method = 'GET',
): Promise<FixtureResponse> {
	const {host, port} =
		typeof address === 'number' ? {host: '127.0.0.1', port: address} : address;
	return new Promise((resolve, reject) => {
		const request = httpRequest(
			{
				host,
				port,
				path: requestPath,
				method,
				headers: {Host: fixtureHost, 'Api-Key': fixtureKey, ...headers},
				agent: new Agent({keepAlive: false}),
			},
			(response) => {
				let body = '';
				const done = (aborted: boolean) => {
					resolve({
						status: response.statusCode ?? 0,
						headers: response.headers,
						body,
						aborted,
					});
				};

				response.on('data', (chunk: Uint8Array) => {
					body += new TextDecoder().decode(chunk);
				});
				response.on('end', () => {
					done(false);
				});
				response.on('error', () => {
					done(true);
				});
			},
		);
		request.on('error', reject);
		request.end();
	});
}

/** Sends a request and returns the status of its response. */
export async function statusOf(
	...parameters: Parameters<typeof call>
): Promise<number> {
	const {status} = await call(...parameters);
	return status;
}

/** Head of a POST request, for tests that write to a connection themselves. */
export function requestHead(
	requestPath: string,
	...lines: readonly string[]
): string {
	return [
		`POST ${requestPath} HTTP/1.1`,
		`Host: ${fixtureHost}`,
		`Api-Key: ${fixtureKey}`,
		...lines,
		'',
		'',
	].join('\r\n');
}

/** Routes of the fixture's configuration, one of each kind. */
export const defaultRoutes: readonly OperatorRoute[] = [
	{name: 'stock', prefix: '/stock/', kind: 'idempotent', service: 'desk'},
	{name: 'book', prefix: '/book/', kind: 'non_idempotent', service: 'desk'},
	{name: 'report', prefix: '/report/', kind: 'stream', service: 'model'},
];

/** A configuration with one route of each kind. */
export function fixtureConfiguration(
	version: number,
	apiKeys: readonly string[] = [fixtureKey],
	routes = defaultRoutes,
): Readonly<Record<string, unknown>> {
	return configurationRow({
		version,
		host: fixtureHost,
		routes,
		account: 'finishers',
		apiKeys,
	});
}

/** Waits until a condition is true; fails after 200 checks at intervals of 20 ms. */
export async function until(isTrue: () => Promise<boolean> | boolean) {
	for (let tries = 0; tries < 200; tries++) {
		if (await isTrue()) {
			return;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}

	assert.fail('the condition did not become true in time');
}

const daemonsByTest = new WeakMap<TestContext, FrontDaemon[]>();

/** Stops the daemons of a test at the same time, since each takes some seconds. */
function stopAfterTest(context: TestContext, daemon: FrontDaemon) {
	const daemons = daemonsByTest.get(context) ?? [];
	if (daemons.length === 0) {
		daemonsByTest.set(context, daemons);
		context.after(async () => {
			await Promise.all(daemons.map(async (each) => each.stop()));
		});
	}

	daemons.push(daemon);
}

/** Starts a daemon on the given ports for callers, the readiness check and peers. */
export async function startDaemon(
	context: TestContext,
	storePort: number,
	[front, ready, peer]: readonly number[],
	options: BootFileOptions = {},
) {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'front-')), 'boot');
	const boot = bootFile({front, ready, peer, store: storePort}, options);
	writeFileSync(file, JSON.stringify(boot));
	const daemon = await createFront({
		bootFile: file,
		vm: readBootFile(file),
		metricsPort: 0,
		storeTimeoutMs: 500,
		storeWaitMs: 500,
		maxLogBacklogBytes: 65_536,
		responseLimits: {
			maxResponseBytes: 1_048_576,
			maxEventBytes: 262_144,
			maxStreamBytes: 16_777_216,
		},
		maxUnreadBytes: 1_048_576,
		maxUnreadMs: 1000,
		maxReceiveMs: 30_000,
		requestMemoryPercent: 15,
		heapLimitBytes: 100_663_296,
		addressConnectionsPercent: 50,
		pageConnectionsPercent: 3,
		receiveMemoryPercent: 4,
		logLevel: 'error',
		checkOnly: false,
	});
	stopAfterTest(context, daemon);
	return {
		daemon,
		front,
		async isReady() {
			const {status} = await call(
				{host: options.ip ?? '127.0.0.1', port: ready},
				'/-/readyz',
			);
			return status === 200;
		},
	};
}

/** Starts a store, a target whose responses follow a script, and a daemon that uses both. */
export async function startFixture(
	context: TestContext,
	script: TargetScript,
	bounds?: BootFileOptions['bounds'],
) {
	const store = createStoreStandin();
	const target = createScriptedTarget(script);
	const storePort = await listenOn(context, store.server);
	const targetPort = await listenOn(context, target.server);
	const daemon = await startDaemon(context, storePort, await findFreePorts(3), {
		bounds,
	});
	const entry = (service: string, state?: 'draining' | 'ready') =>
		targetRow(service, `127.0.0.1:${targetPort}`, state);
	return {store, target, ...daemon, entry};
}
